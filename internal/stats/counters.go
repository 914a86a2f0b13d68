// Package stats counts what an image server receives, sends and replies.
package stats

import "github.com/sirupsen/logrus"

// Counters count since the start of the process. They belong to one goroutine, the event loop of the server.
type Counters struct {
	// Connections of front ends.
	Connections       uint64
	ConnectionsClosed uint64 // to make room for others, or as idle
	ReadTimeouts      uint64 // closed as no whole message came in time; logged as silent
	MalformedInputs   uint64 // closed for input that is not of the protocol; logged as unreadable

	// Messages received from front ends.
	Requests     uint64
	Retries      uint64 // attempts under an idempotency key that is known; logged as repeats
	Invalid      uint64
	Cancelled    uint64
	HealthChecks uint64 // logged as probes

	// Work sent to the agent and calls to the store.
	Runs  uint64
	Calls uint64
	// CallsAbandoned counts calls in flight whose reply nobody waits for any more; logged as calls_dropped. Calls that the
	// circuit breaker drops are not among them: these are never made, and count as CallsSkipped or as a failed request.
	CallsAbandoned uint64
	CallsSkipped   uint64 // runs that went on without their call; logged as skips
	DeepChecks     uint64 // logged as exercises

	Responses     map[string]*ResponseCounts // by the name of the class; logged as totals: served, refused and failed
	ResultsReused uint64                     // of those served, with the result of another attempt; logged as reused

	// What the agent reported.
	RunsFailed       uint64
	RunsInterrupted  uint64
	RunsNotStarted   uint64 // logged as runs_moot
	CommandsRejected uint64 // logged as commands_refused

	// How calls to the store ended.
	CallsOK          uint64
	CallsRejected    uint64 // logged as calls_busy
	CallsFailed      uint64
	CallsTimedOut    uint64 // logged as calls_late
	CallsUnreachable uint64
	CallsAborted     uint64 // logged as calls_broken

	// Connections opened to the agent and the store.
	AgentConnections uint64 // logged as agent_links
	StoreConnections uint64 // logged as store_links

	// Reloads of the configuration.
	Reloads       uint64
	ReloadsFailed uint64

	// Claims on idempotency keys that were sent to the predecessor process.
	Claims         uint64
	ClaimsTimedOut uint64 // without a reply in time; logged as claims_late

	Turns uint64 // iterations of the event loop
}

// ResponseCounts counts the responses to the requests of one class.
type ResponseCounts struct {
	Served   uint64
	Rejected uint64 // logged as refused
	Failed   uint64
}

// Class returns the counts of the class of that name, which may be a new one.
func (c *Counters) Class(name string) *ResponseCounts {
	counts := c.Responses[name]
	if counts == nil {
		if c.Responses == nil {
			c.Responses = map[string]*ResponseCounts{}
		}
		counts = &ResponseCounts{}
		c.Responses[name] = counts
	}
	return counts
}

// total returns the responses to requests of all classes.
func (c *Counters) total() ResponseCounts {
	var total ResponseCounts
	for _, counts := range c.Responses {
		total.Served += counts.Served
		total.Rejected += counts.Rejected
		total.Failed += counts.Failed
	}
	return total
}

// Gauges are numbers of the moment at which the counters are logged.
type Gauges struct {
	ActiveRequests  int // logged as now_open
	RunningRequests int // logged as now_running
	IdempotencyKeys int // logged as now_keys
	Connections     int // of front ends; logged as now_connections
}

// Log logs all counters, and the gauges beside them, as one line. The names of its fields are read by others and stay.
func (c *Counters) Log(log logrus.FieldLogger, gauges Gauges) {
	log.WithFields(c.frontEndFields()).
		WithFields(c.dependencyFields()).
		WithFields(c.processFields()).
		WithFields(gauges.fields()).
		Info("counters")
}

// frontEndFields has what front ends sent, and what they were answered.
func (c *Counters) frontEndFields() logrus.Fields {
	total := c.total()
	return logrus.Fields{
		"connections":        c.Connections,
		"connections_closed": c.ConnectionsClosed,
		"silent":             c.ReadTimeouts,
		"unreadable":         c.MalformedInputs,
		"requests":           c.Requests,
		"repeats":            c.Retries,
		"invalid":            c.Invalid,
		"cancelled":          c.Cancelled,
		"probes":             c.HealthChecks,
		"served":             total.Served,
		"reused":             c.ResultsReused,
		"refused":            total.Rejected,
		"failed":             total.Failed,
	}
}

// dependencyFields has what the agent and the store were asked for, and how that ended.
func (c *Counters) dependencyFields() logrus.Fields {
	return logrus.Fields{
		"runs":              c.Runs,
		"runs_failed":       c.RunsFailed,
		"runs_interrupted":  c.RunsInterrupted,
		"runs_moot":         c.RunsNotStarted,
		"commands_refused":  c.CommandsRejected,
		"exercises":         c.DeepChecks,
		"calls":             c.Calls,
		"calls_dropped":     c.CallsAbandoned,
		"skips":             c.CallsSkipped,
		"calls_ok":          c.CallsOK,
		"calls_busy":        c.CallsRejected,
		"calls_failed":      c.CallsFailed,
		"calls_late":        c.CallsTimedOut,
		"calls_unreachable": c.CallsUnreachable,
		"calls_broken":      c.CallsAborted,
		"agent_links":       c.AgentConnections,
		"store_links":       c.StoreConnections,
	}
}

// processFields has what concerns this process and its predecessor.
func (c *Counters) processFields() logrus.Fields {
	return logrus.Fields{
		"claims":         c.Claims,
		"claims_late":    c.ClaimsTimedOut,
		"reloads":        c.Reloads,
		"reloads_failed": c.ReloadsFailed,
		"turns":          c.Turns,
	}
}

func (g Gauges) fields() logrus.Fields {
	return logrus.Fields{
		"now_open":        g.ActiveRequests,
		"now_running":     g.RunningRequests,
		"now_keys":        g.IdempotencyKeys,
		"now_connections": g.Connections,
	}
}
