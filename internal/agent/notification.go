package agent

import (
	"strconv"
	"time"
)

// Notification is a message from the agent: a Handshake, RunOutcome, CallRequest, GaugeSample, DeepCheckOutcome,
// CommandRejection or Remark. There are no others.
type Notification interface{ isNotification() }

// Handshake is the first message on each connection.
type Handshake struct {
	State State
	Age   time.Duration // since the agent was started
}

// RunOutcome reports that a run has ended.
type RunOutcome struct {
	Offset    int64 // in the sequence of numbered notifications, from 1
	RequestID string
	Result    RunResult
	Payload   []byte // of a run that succeeded
}

// CallRequest reports that a run waits for a call.
type CallRequest struct {
	Offset    int64 // in the sequence of numbered notifications, from 1
	RequestID string
	Payload   []byte
}

// GaugeSample answers SampleGauges.
type GaugeSample struct{ Load Load }

// DeepCheckOutcome reports that the work of a deep health check has ended.
type DeepCheckOutcome struct {
	Token     string // that of the check
	Succeeded bool
}

// CommandRejection reports that a command was not carried out.
type CommandRejection struct {
	RequestID string // empty for a command about no request
	Command   Command
}

// Remark is numbered and otherwise of no consequence.
type Remark struct {
	Offset int64 // in the sequence of numbered notifications, from 1; 0: not numbered
}

func (Handshake) isNotification()        {}
func (RunOutcome) isNotification()       {}
func (CallRequest) isNotification()      {}
func (GaugeSample) isNotification()      {}
func (DeepCheckOutcome) isNotification() {}
func (CommandRejection) isNotification() {}
func (Remark) isNotification()           {}
func (sampleAnswer) isNotification()     {}

// sampleAnswer is a GaugeSample as it was read: the Link names its values, by the order in force.
type sampleAnswer struct {
	sequence int64 // of the sample, or unknownSample
	values   []float64
}

// unknownSample is the sequence of an answer whose token is none that a Link sends.
const unknownSample = -1

// offsetOf returns the place of a notification in the sequence of numbered ones, which has no gap; ok is false where it is
// not numbered.
func offsetOf(notification Notification) (offset int64, ok bool) {
	switch numbered := notification.(type) {
	case RunOutcome:
		offset = numbered.Offset
	case CallRequest:
		offset = numbered.Offset
	case Remark:
		offset = numbered.Offset
	default: // the other kinds are never numbered
	}
	return offset, offset > 0
}

// State is how far the agent has started.
type State uint8

// The states of an agent.
const (
	Booting State = iota // its caches are cold
	Steady
)

// String returns the name of the state in log lines.
func (s State) String() string {
	switch s {
	case Booting:
		return "booting"
	case Steady:
		return "steady"
	default:
		return "State(" + strconv.Itoa(int(s)) + ")"
	}
}

// RunResult is how a run ended.
type RunResult uint8

// The results of a run.
const (
	RunSucceeded   RunResult = iota
	RunFailed                // it may have had its effect
	RunInterrupted           // stopped before its end
	RunNotStarted            // it had no effect
)

// String returns the name of the result.
func (r RunResult) String() string {
	switch r {
	case RunSucceeded:
		return "succeeded"
	case RunFailed:
		return "failed"
	case RunInterrupted:
		return "interrupted"
	case RunNotStarted:
		return "not started"
	default:
		return "RunResult(" + strconv.Itoa(int(r)) + ")"
	}
}

// Load is a reading of the agent's gauges. A value that is not known is UnknownGauge.
type Load struct {
	CPUUtilization    float64 // part of the cores in use, from 0 to 1
	CPUDemand         float64 // cores asked for
	MemoryUtilization float64 // part of the memory in use, from 0 to 1
	Connections       float64 // open ones
}

// UnknownGauge is the value of a gauge that the agent has not reported.
const UnknownGauge = -1

var unknownLoad = Load{
	CPUUtilization:    UnknownGauge,
	CPUDemand:         UnknownGauge,
	MemoryUtilization: UnknownGauge,
	Connections:       UnknownGauge,
}

// The names of gauges in the settings.
const (
	gaugeCPUUtilization    = "core_use"
	gaugeCPUDemand         = "on_cores"
	gaugeMemoryUtilization = "heap_share"
	gaugeConnections       = "links"
)

// newLoad returns the reading of the gauges of these names. Values may be missing at the end; those of unknown names are
// ignored.
func newLoad(names []string, values []float64) Load {
	load := unknownLoad
	for i, value := range values[:min(len(values), len(names))] {
		switch names[i] {
		case gaugeCPUUtilization:
			load.CPUUtilization = value
		case gaugeCPUDemand:
			load.CPUDemand = value
		case gaugeMemoryUtilization:
			load.MemoryUtilization = value
		case gaugeConnections:
			load.Connections = value
		}
	}
	return load
}
