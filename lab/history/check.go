package history

import (
	"fmt"
	"time"
)

// Rules are the bounds that a history is checked against.
type Rules struct {
	Slack             time.Duration // by which a final answer may be late
	IdempotencyWindow time.Duration // within which an order must not run again
	MaxStoreCalls     int           // calls in hand that the stores together may see; 0 = any
}

// Violation is one broken rule.
type Violation struct {
	Rule   string
	Event  Event
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v %s: %s (server %s, try %s)", b.Event.At.Round(time.Millisecond), b.Rule, b.Reason, b.Event.Server, b.Event.AttemptID)
}

// Names of the rules.
const (
	RuleSingleAnswer = "one answer" // each try has one final answer at most
	RuleDeadline     = "in time"    // and has it by its end, while its server lives and its caller waits
	RuleRunsOnce     = "runs once"  // an order runs once within its window
	RuleStoreCalls   = "store"      // the stores never see more calls than they survive
	RuleNoFalseDeath = "not dead"   // nobody is called dead whose process lives, and has for longer than newsWay
)

// newsWay is how long what was true of a process may still be said after it has started again: the call that was refused
// was made before, and a view is published, asked for and noted after.
const newsWay = 2 * time.Second

// Check returns what is broken. It goes through the history once, and holds to what callers and stand-ins saw.
func Check(events []Event, r Rules) (broken []Violation) {
	type try struct {
		Event
		answered, excused bool
	}
	tries := map[string]*try{}
	runs := map[string]time.Duration{} // of an order: when it began last
	lives, stopped, born := map[string]bool{}, map[string]bool{}, map[string]time.Duration{}
	open := map[string]map[string]*try{} // by server
	excuse := func(server string) {
		for _, t := range open[server] {
			t.excused = true
		}
	}
	fail := func(rule string, e Event, why string, args ...any) {
		broken = append(broken, Violation{rule, e, fmt.Sprintf(why, args...)})
	}
	late := func(t *try, at time.Duration) {
		if at > t.Deadline+r.Slack && !t.excused {
			fail(RuleDeadline, t.Event, "final answer %v after its end", (at - t.Deadline).Round(time.Millisecond))
		}
	}
	inHand := 0
	for _, e := range events {
		switch e.Kind {
		case AttemptSent:
			t := &try{Event: e, excused: stopped[e.Server]}
			tries[e.AttemptID] = t
			if open[e.Server] == nil {
				open[e.Server] = map[string]*try{}
			}
			open[e.Server][e.AttemptID] = t
		case AttemptAnswered, AttemptAbandoned:
			t := tries[e.AttemptID]
			if t == nil {
				continue
			}
			if e.Kind == AttemptAnswered && t.answered {
				fail(RuleSingleAnswer, e, "answered again")
				continue
			}
			t.answered = true
			delete(open[t.Server], e.AttemptID)
			if e.Kind == AttemptAnswered && e.Detail != "lost" || e.Kind == AttemptAbandoned {
				late(t, e.At)
			} else if !t.excused && lives[t.Server] {
				fail(RuleDeadline, t.Event, "lost on a connection that a living server ended")
			}
		case RunStarted:
			t := tries[e.AttemptID]
			if t == nil || t.IdempotencyKey == "" {
				continue
			}
			if at, ran := runs[t.IdempotencyKey]; ran && e.At-at <= r.IdempotencyWindow {
				fail(RuleRunsOnce, e, "order %s began %v before as well", t.IdempotencyKey, (e.At - at).Round(time.Millisecond))
			}
			runs[t.IdempotencyKey] = e.At
		case CallStarted:
			inHand++
			if r.MaxStoreCalls > 0 && inHand > r.MaxStoreCalls {
				fail(RuleStoreCalls, e, "%d calls in hand", inHand)
			}
		case CallEnded:
			inHand--
		case ProcessChanged:
			lives[e.Server] = e.Detail == "started" || lives[e.Server] && e.Detail != "killed" && e.Detail != "ended"
			stopped[e.Server] = e.Detail == "stopped" || stopped[e.Server] && e.Detail != "continued" && e.Detail != "started"
			if e.Detail == "started" {
				born[e.Server] = e.At
			} else {
				excuse(e.Server) // what it has in hand may be lost, or late by as long as it stands still
			}
		case ViewChanged:
			if e.Detail == "dead" && lives[e.Member] && e.At-born[e.Member] > newsWay {
				fail(RuleNoFalseDeath, e, "%s says so of %s", e.Server, e.Member)
			}
		}
	}
	return broken
}
