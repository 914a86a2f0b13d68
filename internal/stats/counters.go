// Package stats counts what an image server receives, sends and replies.
package stats

import "github.com/sirupsen/logrus"

// Counters count since the start of the process. They belong to one goroutine, the event loop of the server.
type Counters struct {
	// Connections of front ends.
	Connections       uint64
	ConnectionsClosed uint64 // to make room for others, or as idle
	ReadTimeouts      uint64 // closed as no whole message came in time
	MalformedInputs   uint64 // closed for input that is not of the protocol

	// Messages received from front ends.
	Requests     uint64
	Retries      uint64
	Invalid      uint64
	Cancelled    uint64
	HealthChecks uint64

	// Work sent to the agent and calls to the store.
	Runs         uint64
	Calls        uint64
	CallsDropped uint64
	Skips        uint64
	DeepChecks   uint64

	Answers map[string]*Answers // replies, by the name of the class
	Reused  uint64              // of those served, with the result of another attempt

	// What the agent reported.
	RunsFailed       uint64
	RunsInterrupted  uint64
	RunsNotStarted   uint64
	CommandsRejected uint64

	// How calls to the store ended.
	CallsOK          uint64
	CallsBusy        uint64
	CallsFailed      uint64
	CallsLate        uint64
	CallsUnreachable uint64
	CallsBroken      uint64

	// Connections opened to the agent and the store.
	AgentLinks uint64
	StoreLinks uint64

	// Reloads of the configuration.
	Reloads       uint64
	ReloadsFailed uint64

	// Idempotency keys that an older process was asked for.
	Claims     uint64
	ClaimsLate uint64 // without a reply in time

	Turns uint64 // iterations of the event loop
}

// Answers counts the replies to the requests of one class.
type Answers struct{ Served, Rejected, Failed uint64 }

// Name returns the counts of the class of that name, which may be a new one.
func (c *Counters) Name(class string) *Answers {
	answers := c.Answers[class]
	if answers == nil {
		if c.Answers == nil {
			c.Answers = map[string]*Answers{}
		}
		answers = &Answers{}
		c.Answers[class] = answers
	}
	return answers
}

// total returns the replies to requests of all classes.
func (c *Counters) total() Answers {
	var total Answers
	for _, answers := range c.Answers {
		total.Served += answers.Served
		total.Rejected += answers.Rejected
		total.Failed += answers.Failed
	}
	return total
}

// Print logs all counters beside current numbers: requests that are open, runs that were started, idempotency keys that
// are cached, and connections of front ends.
func (c *Counters) Print(log logrus.FieldLogger, open, running, keys, peers int) {
	total := c.total()
	log.WithFields(logrus.Fields{
		"connections":        c.Connections,
		"connections_closed": c.ConnectionsClosed,
		"silent":             c.ReadTimeouts,
		"unreadable":         c.MalformedInputs,
		"requests":           c.Requests,
		"repeats":            c.Retries,
		"invalid":            c.Invalid,
		"cancelled":          c.Cancelled,
		"probes":             c.HealthChecks,
		"runs":               c.Runs,
		"calls":              c.Calls,
		"calls_dropped":      c.CallsDropped,
		"skips":              c.Skips,
		"exercises":          c.DeepChecks,
		"served":             total.Served,
		"reused":             c.Reused,
		"refused":            total.Rejected,
		"failed":             total.Failed,
		"runs_failed":        c.RunsFailed,
		"runs_interrupted":   c.RunsInterrupted,
		"runs_moot":          c.RunsNotStarted,
		"commands_refused":   c.CommandsRejected,
		"calls_ok":           c.CallsOK,
		"calls_busy":         c.CallsBusy,
		"calls_failed":       c.CallsFailed,
		"calls_late":         c.CallsLate,
		"calls_unreachable":  c.CallsUnreachable,
		"calls_broken":       c.CallsBroken,
		"agent_links":        c.AgentLinks,
		"store_links":        c.StoreLinks,
		"claims":             c.Claims,
		"claims_late":        c.ClaimsLate,
		"reloads":            c.Reloads,
		"reloads_failed":     c.ReloadsFailed,
		"turns":              c.Turns,
		"now_open":           open,
		"now_running":        running,
		"now_keys":           keys,
		"now_connections":    peers,
	}).Info("counters")
}
