package agent

import (
	"strconv"
	"time"
)

// Notification is a message from the agent. Its types are Handshake, RunOutcome, CallRequest, GaugeSample,
// DeepCheckOutcome, CommandRejection and Remark.
type Notification interface{ isNotification() }

// Handshake is the first message on each connection.
type Handshake struct {
	State State
	Age   time.Duration // time since the agent was started
}

// RunOutcome reports the end of a run.
type RunOutcome struct {
	Offset    int64 // sequence number of the notification, from 1
	RequestID string
	Result    RunResult
	Payload   []byte // result of a run that succeeded
}

// CallRequest reports that a run waits for a call to the store.
type CallRequest struct {
	Offset    int64 // sequence number of the notification, from 1
	RequestID string
	Payload   []byte
}

// GaugeSample is the answer to SampleGauges.
type GaugeSample struct{ Load Load }

// DeepCheckOutcome reports the end of the work of a deep health check.
type DeepCheckOutcome struct {
	Token     string // as passed to DeepCheck
	Succeeded bool
}

// CommandRejection reports a command that the agent did not execute.
type CommandRejection struct {
	RequestID string // empty if the command was not about a request
	Command   Command
}

// Remark carries no information except its offset.
type Remark struct {
	Offset int64 // sequence number of the notification, from 1; 0: not numbered
}

func (Handshake) isNotification()        {}
func (RunOutcome) isNotification()       {}
func (CallRequest) isNotification()      {}
func (GaugeSample) isNotification()      {}
func (DeepCheckOutcome) isNotification() {}
func (CommandRejection) isNotification() {}
func (Remark) isNotification()           {}
func (rawSample) isNotification()        {}

// rawSample is a GaugeSample as decoded. The Link maps its values to gauges, in the order set by SetGauges.
type rawSample struct {
	sequence int64     // of the sample that is answered, or unknownSample
	values   []float64 // in the order in which the agent reports the gauges
}

// unknownSample is the sequence of an answer whose token is not a number, so that it was not sent by a Link.
const unknownSample = -1

// offsetOf returns the offset of a numbered notification. Offsets are consecutive. ok is false if the notification is not
// numbered.
func offsetOf(notification Notification) (offset int64, ok bool) {
	switch numbered := notification.(type) {
	case RunOutcome:
		offset = numbered.Offset
	case CallRequest:
		offset = numbered.Offset
	case Remark:
		offset = numbered.Offset
	default: // never numbered
	}
	return offset, offset > 0
}

// State is the startup state of the agent.
type State uint8

// The states of an agent.
const (
	Booting State = iota // starting; caches are cold
	Steady               // started
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

// RunResult is the result of a run.
type RunResult uint8

// The results of a run.
const (
	RunSucceeded   RunResult = iota
	RunFailed                // may have had an effect
	RunInterrupted           // stopped before its end
	RunNotStarted            // had no effect
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

// Load is a reading of the agent's gauges. A gauge that was not reported is UnknownGauge.
type Load struct {
	CPUUtilization    float64 // fraction of the cores in use, from 0 to 1
	CPUDemand         float64 // demanded CPU, in cores
	MemoryUtilization float64 // fraction of the memory in use, from 0 to 1
	Connections       float64 // open connections
}

// UnknownGauge is the value of a gauge that the agent has not reported.
const UnknownGauge = -1

var unknownLoad = Load{
	CPUUtilization:    UnknownGauge,
	CPUDemand:         UnknownGauge,
	MemoryUtilization: UnknownGauge,
	Connections:       UnknownGauge,
}

// Names of gauges in the settings.
const (
	gaugeCPUUtilization    = "core_use"
	gaugeCPUDemand         = "on_cores"
	gaugeMemoryUtilization = "heap_share"
	gaugeConnections       = "links"
)

// newLoad returns a Load from values reported for the gauges with these names. Missing values become UnknownGauge. Values of
// unknown names and surplus values are ignored.
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
