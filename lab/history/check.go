package history

import (
	"fmt"
	"time"
)

// Rules are the bounds that a history is checked against.
type Rules struct {
	Slack             time.Duration // by which a final answer may be late
	IdempotencyWindow time.Duration // within which a request with an idempotency key must not run again
	MaxStoreCalls     int           // in flight at all stores together; 0 = any number
}

// Names of the rules.
const (
	// RuleSingleAnswer: each attempt has one final answer at most.
	RuleSingleAnswer = "single answer"
	// RuleDeadline: an attempt has its final answer by its deadline, while its server lives and its client waits.
	RuleDeadline = "deadline"
	// RuleIdempotency: a request with an idempotency key runs once within the window.
	RuleIdempotency = "idempotency"
	// RuleStoreCalls: the stores never have more calls in flight than they survive.
	RuleStoreCalls = "store calls"
	// RuleNoFalseFailure: no member is reported as failed whose process has run for longer than viewLag.
	RuleNoFalseFailure = "no false failure"
)

// viewLag is how long a report of an earlier process may still come after the next one has started: the connection
// that was refused was made before, and a view is published, polled and recorded after.
const viewLag = 2 * time.Second

// Violation is one violation of a rule.
type Violation struct {
	Rule   string
	Event  Event
	Reason string
}

func (v Violation) String() string {
	at := v.Event.At.Round(time.Millisecond)
	text := fmt.Sprintf("%v %s: %s (server %s", at, v.Rule, v.Reason, v.Event.Server)
	if v.Event.AttemptID != "" {
		text += ", attempt " + v.Event.AttemptID
	}
	return text + ")"
}

// Check returns the violations of a history, in the order of their discovery. It relies only on what clients and
// fakes saw, except for views, which it checks.
func Check(events []Event, rules Rules) []Violation {
	check := &checker{
		rules:     rules,
		attempts:  map[string]*attempt{},
		open:      map[string]map[string]*attempt{},
		runs:      map[string]time.Duration{},
		processes: map[string]*process{},
	}
	for i := range events {
		check.apply(&events[i])
	}
	return check.violations
}

// checker holds the state of a check between events.
type checker struct {
	rules         Rules
	violations    []Violation
	attempts      map[string]*attempt
	open          map[string]map[string]*attempt // by server: those without an answer
	runs          map[string]time.Duration       // by idempotency key: when it ran last
	processes     map[string]*process
	callsInFlight int
}

// attempt is what is known of one attempt.
type attempt struct {
	sent     Event
	answered bool
	excused  bool // its answer may be late or lost, as its server's process was interfered with
}

// process is what is known of the processes of one server.
type process struct {
	alive     bool
	paused    bool
	startedAt time.Duration
}

func (c *checker) apply(event *Event) {
	switch event.Kind {
	case AttemptSent:
		c.attemptSent(event)
	case AttemptAnswered, AttemptAbandoned:
		c.attemptEnded(event)
	case RunStarted:
		c.runStarted(event)
	case CallStarted:
		c.callStarted(event)
	case CallEnded:
		c.callsInFlight--
	case ProcessChanged:
		c.processChanged(event)
	case ViewChanged:
		c.viewChanged(event)
	default: // no rule is about it
	}
}

func (c *checker) fail(rule string, event *Event, reason string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Event: *event, Reason: fmt.Sprintf(reason, args...)})
}

// process returns the state of a server's processes.
func (c *checker) process(server string) *process {
	known := c.processes[server]
	if known == nil {
		known = &process{}
		c.processes[server] = known
	}
	return known
}

func (c *checker) attemptSent(event *Event) {
	sent := &attempt{sent: *event, excused: c.process(event.Server).paused}
	c.attempts[event.AttemptID] = sent
	if c.open[event.Server] == nil {
		c.open[event.Server] = map[string]*attempt{}
	}
	c.open[event.Server][event.AttemptID] = sent
}

func (c *checker) attemptEnded(event *Event) {
	ended := c.attempts[event.AttemptID]
	if ended == nil {
		return
	}
	if event.Kind == AttemptAnswered && ended.answered {
		c.fail(RuleSingleAnswer, event, "second final answer")
		return
	}
	ended.answered = true
	delete(c.open[ended.sent.Server], event.AttemptID)
	if ended.excused {
		return
	}
	if event.Kind == AttemptAnswered && event.Outcome() == OutcomeLost {
		if c.process(ended.sent.Server).alive {
			c.fail(RuleDeadline, &ended.sent, "connection closed by a live server")
		}
		return
	}
	if late := event.At - ended.sent.Deadline; late > c.rules.Slack {
		c.fail(RuleDeadline, &ended.sent, "final answer %v after the deadline", late.Round(time.Millisecond))
	}
}

func (c *checker) runStarted(event *Event) {
	started := c.attempts[event.AttemptID]
	if started == nil || started.sent.IdempotencyKey == "" {
		return
	}
	key := started.sent.IdempotencyKey
	if at, ran := c.runs[key]; ran && event.At-at <= c.rules.IdempotencyWindow {
		c.fail(RuleIdempotency, event, "request with key %s already started %v before", key, (event.At - at).Round(time.Millisecond))
	}
	c.runs[key] = event.At
}

func (c *checker) callStarted(event *Event) {
	c.callsInFlight++
	if c.rules.MaxStoreCalls > 0 && c.callsInFlight > c.rules.MaxStoreCalls {
		c.fail(RuleStoreCalls, event, "%d calls in flight", c.callsInFlight)
	}
}

func (c *checker) processChanged(event *Event) {
	changed := c.process(event.Server)
	state := event.ProcessState()
	if state == ProcessStarted {
		*changed = process{alive: true, startedAt: event.At}
		return
	}
	switch state {
	case ProcessKilled, ProcessEnded:
		changed.alive = false
	case ProcessPaused:
		changed.paused = true
	case ProcessResumed:
		changed.paused = false
	default: // changes nothing by itself; its end follows as an event of its own
	}
	for _, open := range c.open[event.Server] {
		open.excused = true
	}
}

func (c *checker) viewChanged(event *Event) {
	member := c.process(event.Member)
	if event.Condition() == ConditionFailed && member.alive && event.At-member.startedAt > viewLag {
		c.fail(RuleNoFalseFailure, event, "%s reports the live member %s as failed", event.Server, event.Member)
	}
}
