package admission

import (
	"testing"
	"time"
)

// Half of a fleet's front ends ask one server for the same keys. Reading alone then takes its cores, and advice of
// a tenth of a second says nothing to a front end that comes every few seconds anyway.
func TestAdviceOutlastsTheGapBetweenACallersRequests(t *testing.T) {
	refusal := func(callers int, waited, work time.Duration) *Action {
		s := testSettings()
		s.Clients = callers
		controller := start(t, s)
		now := time.Duration(0)
		var last *Action
		for id := RequestID(1); id <= 400; id++ {
			now += 50 * ms // 20 requests a second
			e := req(id, 1)
			e.Waited, e.CostHint = waited, work
			if a := find(controller.Step(now, []Event{e, {Kind: EventTimer, Gauges: calm}}, nil), ActionReject, id); a != nil {
				last = a
			}
		}
		if last == nil {
			t.Fatalf("%d callers: nothing refused", callers)
		}
		return last
	}
	// 150 callers with 20 requests a second come every 7.5 s, so they are sent off for as long as they heed, and
	// those whose time is over hear so too, beside the wish to try nowhere else.
	late := refusal(150, 900*ms, time.Second)
	if late.Reason != ReasonTooLate || !late.NoRetryElsewhere || late.RetryAfter != time.Second {
		t.Errorf("%+v", *late)
	}
	// Ten come every half second.
	if a := refusal(10, 900*ms, time.Second); a.RetryAfter < 400*ms || a.RetryAfter > 600*ms {
		t.Errorf("%+v", *a)
	}
	// One caller that sends all of them would leave the server idle: the advice is as it was.
	if a := refusal(1, 900*ms, time.Second); a.RetryAfter != 0 {
		t.Errorf("%+v", *a)
	}
	// Where reading is in time it is as it was as well.
	if a := refusal(150, 0, 3*time.Second); a.RetryAfter >= time.Second {
		t.Errorf("%+v", *a)
	}
}

// A further try whose age is known has only what is left of its aim, so that nothing is run which nobody will count; and
// advice is spread as the caller of this module asks, within what is heeded.
func TestAgeAndSpreadOfATry(t *testing.T) {
	first := func(age, spread time.Duration) (ran bool, refused *Action) {
		controller := start(t, testSettings())
		var events []Event
		for id := RequestID(1); id <= 16; id++ { // cores are taken, and some are held
			events = append(events, req(id, 0))
		}
		controller.Step(10*ms, events, nil)
		e := req(99, 0)
		e.SinceFirstAttempt, e.RetryJitter = age, spread
		as := controller.Step(20*ms, []Event{e}, nil)
		return find(as, ActionReject, 99) == nil, find(as, ActionReject, 99)
	}
	if ran, _ := first(0, 0); !ran {
		t.Error("a first try that can be in time is not taken")
	}
	if ran, a := first(1900*ms, 0); ran || !a.NoRetryElsewhere {
		t.Errorf("a try that can't be in time any more: %v %+v", ran, a)
	}
	c := start(t, testSettings())
	for id := RequestID(1); id <= 400; id++ {
		e := req(id, 0)
		e.RetryJitter = time.Duration(id) * 10 * ms
		if a := find(c.Step(10*ms, []Event{e}, nil), ActionReject, id); a != nil && !a.NoRetryElsewhere && (a.RetryAfter < min(e.RetryJitter, time.Second) || a.RetryAfter > time.Second) {
			t.Fatalf("%+v", *a)
		}
	}
}
