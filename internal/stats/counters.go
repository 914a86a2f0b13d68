// Package stats counts what an image server takes in, sends and answers.
package stats

import "github.com/sirupsen/logrus"

// Counters are counted by one goroutine.
type Counters struct {
	Connections, ConnectionsClosed uint64 // of front ends; those closed to make room or as idle
	ReadTimeouts, MalformedInputs  uint64 // those ended for saying nothing whole, and nothing of the protocol

	Requests, Retries, Invalid, Cancelled, HealthChecks uint64              // taken in
	Runs, Calls, CallsDropped, Skips, DeepChecks        uint64              // sent
	Answers                                             map[string]*Answers // by the name of the class
	Reused                                              uint64              // of those served, with another try's result

	RunsFailed, RunsInterrupted, RunsNotStarted, CommandsRejected             uint64 // what the agent told
	CallsOK, CallsBusy, CallsFailed, CallsLate, CallsUnreachable, CallsBroken uint64 // how calls ended

	AgentLinks, StoreLinks uint64 // links opened to the agent, connections to the store

	Reloads, ReloadsFailed uint64 // of the configuration
	Claims, ClaimsLate     uint64 // keys asked for at an older process, and those without an answer
	Turns                  uint64 // of the loop
}

// Name returns what is counted for the class of that name.
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

// Print logs all counters and what is in hand.
func (c *Counters) Print(log logrus.FieldLogger, open, running, keys, peers int) {
	var total Answers
	for _, answers := range c.Answers {
		total.Served += answers.Served
		total.Rejected += answers.Rejected
		total.Failed += answers.Failed
	}
	log.WithFields(logrus.Fields{
		"connections": c.Connections, "connections_closed": c.ConnectionsClosed,
		"silent": c.ReadTimeouts, "unreadable": c.MalformedInputs,
		"requests": c.Requests, "repeats": c.Retries, "invalid": c.Invalid, "cancelled": c.Cancelled, "probes": c.HealthChecks,
		"runs": c.Runs, "calls": c.Calls, "calls_dropped": c.CallsDropped, "skips": c.Skips, "exercises": c.DeepChecks,
		"served": total.Served, "reused": c.Reused, "refused": total.Rejected, "failed": total.Failed,
		"runs_failed": c.RunsFailed, "runs_interrupted": c.RunsInterrupted, "runs_moot": c.RunsNotStarted,
		"commands_refused": c.CommandsRejected,
		"calls_ok":         c.CallsOK, "calls_busy": c.CallsBusy, "calls_failed": c.CallsFailed, "calls_late": c.CallsLate,
		"calls_unreachable": c.CallsUnreachable, "calls_broken": c.CallsBroken,
		"agent_links": c.AgentLinks, "store_links": c.StoreLinks,
		"claims": c.Claims, "claims_late": c.ClaimsLate,
		"reloads": c.Reloads, "reloads_failed": c.ReloadsFailed,
		"turns": c.Turns, "now_open": open, "now_running": running, "now_keys": keys, "now_connections": peers,
	}).Info("counters")
}
