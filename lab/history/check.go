package history

import (
	"fmt"
	"time"
)

// Rules are the bounds of the rules that Check applies.
type Rules struct {
	Slack             time.Duration // by which a final answer may come after its deadline
	IdempotencyWindow time.Duration // from the start of a run; no other run with its idempotency key may start within it
	MaxStoreCalls     int           // limit of calls in flight, over all stores; 0: no limit
}

// Names of the rules, as they appear in violations.
const (
	// RuleSingleAnswer requires that each attempt has at most one final answer, and none after its client has abandoned it.
	RuleSingleAnswer = "single answer"
	// RuleDeadline requires that an attempt that ends has its final answer, or is abandoned by its client, by its deadline plus
	// Rules.Slack, and that a live server does not close the connection of an attempt. Exempt are attempts that are open when
	// the state of their server's process changes in another way than by a start, and attempts sent while it is paused.
	RuleDeadline = "deadline"
	// RuleIdempotency requires that no two runs with the same idempotency key start within Rules.IdempotencyWindow of each
	// other.
	RuleIdempotency = "idempotency"
	// RuleStoreCalls requires that the stores never have more than Rules.MaxStoreCalls calls in flight.
	RuleStoreCalls = "store calls"
	// RuleNoFalseFailure requires that no member reports another as failed whose process has run for longer than viewLag.
	RuleNoFalseFailure = "no false failure"
)

// viewLag is how long after the start of a process its predecessor may still be reported as failed. The member that reports
// it may have been refused a connection just before the start, and its view is published, polled and recorded later.
const viewLag = 2 * time.Second

// Violation is one violation of a rule.
type Violation struct {
	Rule   string // name of the rule
	Event  Event  // event that shows the violation, or the AttemptSent of the attempt concerned
	Reason string // what violates the rule, for people
}

func (v Violation) String() string {
	at := v.Event.At.Round(time.Millisecond)
	text := fmt.Sprintf("%v %s: %s (server %s", at, v.Rule, v.Reason, v.Event.Server)
	if v.Event.AttemptID != "" {
		text += ", attempt " + v.Event.AttemptID
	}
	return text + ")"
}

// Check returns the violations of rules in a history, in the order in which events show them. It relies on what clients, fakes
// and the laboratory recorded. The only records of the programs under test that it uses are the views, which it checks.
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

// checker is the state of Check between two events.
type checker struct {
	rules         Rules
	violations    []Violation
	attempts      map[string]*attempt            // by attempt ID
	open          map[string]map[string]*attempt // by server and attempt ID: attempts that have not ended
	runs          map[string]time.Duration       // by idempotency key: start of the last run
	processes     map[string]*process            // by server
	callsInFlight int                            // at all stores
}

// attempt is what the events so far tell about one attempt.
type attempt struct {
	sent   Event // AttemptSent
	ended  bool  // it was answered, or abandoned by its client
	exempt bool  // from RuleDeadline: its server's process was paused when it was sent, or changed its state since
}

// process is what the events so far tell about the processes of one server.
type process struct {
	alive     bool // a process was started, without a ProcessKilled or ProcessEnded since; a ProcessFailed leaves it set
	paused    bool
	startedAt time.Duration // of the newest process
}

// apply checks one event and updates the state.
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
	default: // no rule uses it
	}
}

// fail adds a violation. Its reason is a format with args.
func (c *checker) fail(rule string, event *Event, reason string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Event: *event, Reason: fmt.Sprintf(reason, args...)})
}

// process returns the state of a server's processes. It adds the server if it is new.
func (c *checker) process(server string) *process {
	known := c.processes[server]
	if known == nil {
		known = &process{}
		c.processes[server] = known
	}
	return known
}

func (c *checker) attemptSent(event *Event) {
	sent := &attempt{sent: *event, exempt: c.process(event.Server).paused}
	c.attempts[event.AttemptID] = sent
	if c.open[event.Server] == nil {
		c.open[event.Server] = map[string]*attempt{}
	}
	c.open[event.Server][event.AttemptID] = sent
}

func (c *checker) attemptEnded(event *Event) {
	known := c.attempts[event.AttemptID]
	if known == nil {
		return
	}
	if event.Kind == AttemptAnswered && known.ended {
		c.fail(RuleSingleAnswer, event, "final answer to an attempt that was already answered or abandoned")
		return
	}
	known.ended = true
	delete(c.open[known.sent.Server], event.AttemptID)
	if known.exempt {
		return
	}
	if event.Kind == AttemptAnswered && event.Outcome() == OutcomeLost {
		if c.process(known.sent.Server).alive {
			c.fail(RuleDeadline, &known.sent, "connection closed by a live server")
		}
		return
	}
	if late := event.At - known.sent.Deadline; late > c.rules.Slack {
		c.fail(RuleDeadline, &known.sent, "answered or abandoned %v after the deadline", late.Round(time.Millisecond))
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
		c.fail(RuleStoreCalls, event, "%d calls in flight, at most %d allowed", c.callsInFlight, c.rules.MaxStoreCalls)
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
	default: // the process still runs, or has failed by itself, after which it still counts as alive
	}
	for _, open := range c.open[event.Server] {
		open.exempt = true
	}
}

func (c *checker) viewChanged(event *Event) {
	member := c.process(event.Member)
	if event.Condition() == ConditionFailed && member.alive && event.At-member.startedAt > viewLag {
		c.fail(RuleNoFalseFailure, event, "%s reports the live member %s as failed", event.Server, event.Member)
	}
}
