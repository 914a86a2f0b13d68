package admission

import (
	"testing"
	"time"

	"falldeal/admission/internal/rolling"
)

func TestAdmitProbabilityFallsOnlyUnderPressureAndLate(t *testing.T) {
	controller := start(t, testSettings())
	step := func(use, lat float64) float64 {
		controller.gauges.CPUUtilization = use
		controller.estimator.estimates[0].latency = rolling.AverageOf(lat)
		overloaded := controller.estimator.anyClassLate() && underCPUPressure(controller.gauges, controller.settings.Cores)
		controller.admissionRate.adjust(overloaded)
		return controller.admissionRate.probability
	}
	if step(0.99, 0.5) != 1 || step(0.5, 9) != 1 {
		t.Fatal("the probability fell though only one condition held")
	}
	if s := step(0.99, 9); s >= 1 {
		t.Fatal("the probability did not fall")
	}
	if low := controller.admissionRate.probability; step(0.5, 9) <= low {
		t.Fatal("the probability did not rise when the pressure eased")
	}
}

func TestRetriesHaveShorterObjective(t *testing.T) {
	c := start(t, testSettings())
	again := req(1, 0)
	again.Arrival.Retry = true
	c.Step(0, []Event{again}, nil)
	if got := c.requests[1].objective; got >= 2*time.Second {
		t.Errorf("a retry has its whole objective of %v left", got)
	}
}

func TestRejectionsAdviseOnRetryElsewhere(t *testing.T) {
	refusal := func(prepare func(*Controller, *Event)) *Action {
		controller := start(t, testSettings())
		controller.advisor.marksRetries = true
		controller.estimator.speed.First = 1e-6 // so slow that nothing is in time
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{req(id, 0)}, nil)
		}
		e := req(1, 0)
		prepare(controller, &e)
		return want(t, controller.Step(0, []Event{e}, nil), ActionReject, 1)
	}
	if a := refusal(func(*Controller, *Event) {}); a.Rejection.NoRetryElsewhere || a.Rejection.RetryAfter <= 0 {
		t.Errorf("trouble of this server alone: %+v", *a)
	}
	for _, marks := range []bool{true, false} {
		storm := func(c *Controller, _ *Event) {
			c.advisor.marksRetries, c.advisor.arrivals.counts.First, c.advisor.arrivals.counts.Second = marks, 10, 9
		}
		if a := refusal(storm); !a.Rejection.NoRetryElsewhere {
			t.Errorf("in a storm the client is sent on (retries marked: %v)", marks)
		}
	}
	if a := refusal(func(_ *Controller, e *Event) { e.Arrival.Waited = 1500 * ms }); !a.Rejection.NoRetryElsewhere {
		t.Error("a request whose objective is nearly over is sent on")
	}
}

// The fleet's rank of a request counts only while the CPU is short: a server with a free core runs any request, and a
// request that another server would run is not ended here.
func TestFleetRank(t *testing.T) {
	for _, test := range []struct {
		rank       FleetRank
		storm, end bool
		why        Reason
	}{{RankUnknown, false, false, ReasonCPU}, {RankUnknown, true, true, ReasonCPU}, {RankElsewhere, true, false, ReasonCPU},
		{RankFull, false, true, ReasonCPU}, {RankBelowThreshold, false, true, ReasonBelowThreshold}} {
		controller := start(t, testSettings())
		event := req(1, 0)
		event.Arrival.FleetRank = test.rank
		want(t, controller.Step(0, []Event{event}, nil), ActionRun, 1)
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{req(id, 0)}, nil)
		}
		controller.estimator.speed.First = 1e-6 // so slow that nothing is in time
		if test.storm {
			controller.advisor.arrivals.counts.First, controller.advisor.arrivals.counts.Second = 10, 9
		}
		event.ID = 2
		if a := want(t, controller.Step(0, []Event{event}, nil), ActionReject, 2); a.Rejection.NoRetryElsewhere != test.end || a.Rejection.Reason != test.why || test.end == (a.Rejection.RetryAfter > 0) {
			t.Errorf("%+v: %+v", test, *a)
		}
	}
}

func TestValuableArrivalsEvictLessValuable(t *testing.T) {
	s := testSettings()
	s.MaxCallsInFlight, s.Dependency = 0, DependencyNone
	for i := range s.Classes {
		s.Classes[i].CallsDependency = false
	}
	controller := start(t, s)
	id := RequestID(0)
	for range 200 {
		id++
		controller.Step(0, []Event{req(id, 0)}, nil)
	}
	controller.settings.Classes[0].PriorityWeight, controller.settings.Classes[1].PriorityWeight = 1, 3
	id++
	as := controller.Step(0, []Event{req(id, 1)}, nil)
	wantNone(t, as, ActionReject, id)
	if controller.requests[id] == nil {
		t.Error("a keyed request worth more was rejected for queued ones of less value")
	}
}

func TestRejectionOnReadingLeavesQueueCounts(t *testing.T) {
	controller := start(t, testSettings())
	controller.admissionRate.probability = 0 // all that comes while the cores are busy is refused on reading
	for id := RequestID(1); id <= 40; id++ {
		controller.Step(0, []Event{req(id, 0)}, nil)
	}
	if controller.queue.count != 0 || controller.queue.work != 0 || controller.queue.classes[0].count != 0 {
		t.Errorf("%d queued, %v s of work, %d of the class", controller.queue.count, controller.queue.work, controller.queue.classes[0].count)
	}
}

func TestRetryStormIsDetected(t *testing.T) {
	for _, marks := range []bool{true, false} {
		s := testSettings()
		s.MarksRetries = marks
		controller := start(t, s)
		controller.estimator.speed.First = 1e-6
		var last *Action
		for id := RequestID(1); id <= 60; id++ {
			e := req(id, 0)
			e.Arrival.Retry = marks
			if a := find(controller.Step(0, []Event{e}, nil), ActionReject, id); a != nil {
				last = a
			}
		}
		if last == nil || !last.Rejection.NoRetryElsewhere {
			t.Errorf("marks %v: %+v after 60 arrivals that are nearly all rejected", marks, last)
		}
	}
}

// A retry whose age is known has only the rest of its latency objective, so that no run is in vain; advice to stay away is
// jittered as the event says, up to the longest that is heeded.
func TestAttemptAgeAndRetryJitter(t *testing.T) {
	first := func(age, spread time.Duration) (ran bool, rejected *Action) {
		controller := start(t, testSettings())
		var events []Event
		for id := RequestID(1); id <= 16; id++ { // cores are taken, and some are queued
			events = append(events, req(id, 0))
		}
		controller.Step(10*ms, events, nil)
		e := req(99, 0)
		e.Arrival.SinceFirstAttempt, e.Arrival.RetryJitter = age, spread
		as := controller.Step(20*ms, []Event{e}, nil)
		return find(as, ActionReject, 99) == nil, find(as, ActionReject, 99)
	}
	if ran, _ := first(0, 0); !ran {
		t.Error("a first attempt that can be in time is rejected")
	}
	if ran, a := first(1900*ms, 0); ran || !a.Rejection.NoRetryElsewhere {
		t.Errorf("an attempt that can't be in time any more: %v %+v", ran, a)
	}
	c := start(t, testSettings())
	for id := RequestID(1); id <= 400; id++ {
		e := req(id, 0)
		e.Arrival.RetryJitter = time.Duration(id) * 10 * ms
		if a := find(c.Step(10*ms, []Event{e}, nil), ActionReject, id); a != nil && !a.Rejection.NoRetryElsewhere && (a.Rejection.RetryAfter < min(e.Arrival.RetryJitter, time.Second) || a.Rejection.RetryAfter > time.Second) {
			t.Fatalf("%+v", *a)
		}
	}
}
