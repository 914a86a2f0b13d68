// Package stats counts the requests, responses, runs, calls and connections of an image server, and formats the counters as
// a log line and as StatsD metrics.
package stats

import "github.com/sirupsen/logrus"

// Counters count events since the start of the process. They belong to one goroutine, the event loop of the server. Where
// the name of a log field differs from that of the counter, the comment has it.
type Counters struct {
	// Connections of front ends.
	Connections       uint64 // accepted
	ConnectionsClosed uint64 // closed because they were idle or to make room for others
	ReadTimeouts      uint64 // closed because no complete message arrived in time; logged as silent
	MalformedInputs   uint64 // closed because of input that violates the protocol; logged as unreadable

	// Messages received from front ends.
	Requests     uint64 // including invalid ones
	Retries      uint64 // attempts with an idempotency key that is known already; logged as repeats
	Invalid      uint64 // invalid requests
	Cancelled    uint64 // requests that a front end cancelled before they were answered
	HealthChecks uint64 // logged as probes

	// Work sent to the agent, and calls to the store.
	Runs  uint64 // runs sent to the agent
	Calls uint64 // calls sent to the store
	// CallsAbandoned counts calls in flight whose reply is no longer needed; logged as calls_dropped. It does not include
	// calls that the circuit breaker drops: these are never sent, and count as CallsSkipped or as a failed request.
	CallsAbandoned uint64
	CallsSkipped   uint64 // runs that continued without their call; logged as skips
	DeepChecks     uint64 // deep health checks; logged as exercises

	Responses     map[string]*ResponseCounts // by class name; logged as totals over the classes
	ResultsReused uint64                     // requests served with the result of another attempt; logged as reused

	// Reports of the agent.
	RunsFailed       uint64 // runs that ended with a failure
	RunsInterrupted  uint64 // runs that were interrupted, or whose outcome was lost with the connection to the agent
	RunsNotStarted   uint64 // runs that the agent did not start; logged as runs_moot
	CommandsRejected uint64 // commands that the agent rejected; logged as commands_refused

	// Outcomes of calls to the store.
	CallsOK          uint64
	CallsRejected    uint64 // rejected by the store; logged as calls_busy
	CallsFailed      uint64 // failed, or not executed as no run waited for them any more
	CallsTimedOut    uint64 // timed out at the store, or abandoned at their deadline; logged as calls_late
	CallsUnreachable uint64 // not sent, as no connection could be opened
	CallsAborted     uint64 // ended by the loss of their connection; logged as calls_broken

	// Replies to calls that the agent was not known to have read after a disconnection; logged as replies_unacknowledged.
	RepliesUnacknowledged uint64

	// Connections opened to the agent and the store.
	AgentConnections uint64 // logged as agent_links
	StoreConnections uint64 // logged as store_links

	// Reloads of the configuration.
	Reloads       uint64 // applied
	ReloadsFailed uint64 // failed; the configuration stayed as it was

	// Claims on idempotency keys that were sent to the predecessor process.
	Claims         uint64
	ClaimsTimedOut uint64 // claims without a reply in time; logged as claims_late
	KeysUndecided  uint64 // requests that failed because a process without a link may have run their keys

	LoopIterations uint64 // of the event loop; logged as turns
}

// ResponseCounts counts the responses to the requests of one class.
type ResponseCounts struct {
	Served   uint64
	Rejected uint64 // logged as refused
	Failed   uint64
}

// Class returns the counts of the class called name. It adds a class that is new.
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

// total returns the sums of the counts of all classes.
func (c *Counters) total() ResponseCounts {
	var total ResponseCounts
	for _, counts := range c.Responses {
		total.Served += counts.Served
		total.Rejected += counts.Rejected
		total.Failed += counts.Failed
	}
	return total
}

// Gauges are the current values that are logged with the counters.
type Gauges struct {
	ActiveRequests  int // requests that are not answered yet; logged as now_open
	RunningRequests int // of these, the ones that the agent runs; logged as now_running
	IdempotencyKeys int // keys that the server remembers; logged as now_keys
	Connections     int // open connections of front ends; logged as now_connections
	Processes       int // processes of this image server, including this one; logged as now_processes
	CallUnits       int // units of the call limit that this process may use; logged as now_call_units
	RetainedKB      int // memory for results that may answer retries, in KB; logged as now_retained_kb
	Tables
}

// Log logs all counters and the gauges in one line. Operators' tools read the names of its fields, which never change.
func (c *Counters) Log(log logrus.FieldLogger, gauges Gauges) {
	log.WithFields(c.frontEndFields()).
		WithFields(c.dependencyFields()).
		WithFields(c.processFields()).
		WithFields(gauges.fields()).
		Info("counters")
}

// frontEndFields returns the counters of connections, requests and responses of front ends.
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

// dependencyFields returns the counters of runs at the agent and calls to the store.
func (c *Counters) dependencyFields() logrus.Fields {
	return logrus.Fields{
		"runs":                   c.Runs,
		"runs_failed":            c.RunsFailed,
		"runs_interrupted":       c.RunsInterrupted,
		"runs_moot":              c.RunsNotStarted,
		"commands_refused":       c.CommandsRejected,
		"exercises":              c.DeepChecks,
		"calls":                  c.Calls,
		"calls_dropped":          c.CallsAbandoned,
		"skips":                  c.CallsSkipped,
		"calls_ok":               c.CallsOK,
		"calls_busy":             c.CallsRejected,
		"calls_failed":           c.CallsFailed,
		"calls_late":             c.CallsTimedOut,
		"calls_unreachable":      c.CallsUnreachable,
		"calls_broken":           c.CallsAborted,
		"replies_unacknowledged": c.RepliesUnacknowledged,
		"agent_links":            c.AgentConnections,
		"store_links":            c.StoreConnections,
	}
}

// processFields returns the counters of claims at the predecessor process, of reloads and of the event loop.
func (c *Counters) processFields() logrus.Fields {
	return logrus.Fields{
		"claims":         c.Claims,
		"claims_late":    c.ClaimsTimedOut,
		"keys_undecided": c.KeysUndecided,
		"reloads":        c.Reloads,
		"reloads_failed": c.ReloadsFailed,
		"turns":          c.LoopIterations,
	}
}

// fields returns the gauges by the names under which they are logged.
func (g Gauges) fields() logrus.Fields {
	fields := logrus.Fields{
		"now_open":        g.ActiveRequests,
		"now_running":     g.RunningRequests,
		"now_keys":        g.IdempotencyKeys,
		"now_connections": g.Connections,
		"now_processes":   g.Processes,
		"now_call_units":  g.CallUnits,
		"now_retained_kb": g.RetainedKB,
	}
	for _, table := range g.sizes() {
		fields["now_"+table.name] = table.size
	}
	return fields
}
