package admission

import (
	"testing"
	"time"

	"falldeal/admission/internal/rolling"
)

func TestAdmitProbabilityFallsOnlyIfCPUIsShortAndRequestsAreLate(t *testing.T) {
	controller := startController(t, testSettings())
	step := func(use, lat float64) float64 {
		controller.gauges.CPUUtilization = use
		controller.estimator.estimates[0].latency = rolling.AverageOf(lat)
		controller.admitProbability.adjust(controller.estimator.cpuOverloaded(controller.gauges))
		return controller.admitProbability.probability
	}
	if step(0.99, 0.5) != 1 || step(0.5, 9) != 1 {
		t.Fatal("the probability fell though only one condition held")
	}
	if s := step(0.99, 9); s >= 1 {
		t.Fatal("the probability did not fall")
	}
	if low := controller.admitProbability.probability; step(0.5, 9) <= low {
		t.Fatal("the probability did not rise when the pressure eased")
	}
}

func TestRetriesHaveShorterObjective(t *testing.T) {
	controller := startController(t, testSettings())
	again := arrived(1, 0)
	again.Arrival.Retry = true
	controller.Step(0, []Event{again}, nil)
	if got := controller.requests[1].objective; got >= 2*time.Second {
		t.Errorf("a retry has its whole objective of %v left", got)
	}
}

func TestRejectionsAdviseOnRetryElsewhere(t *testing.T) {
	rejection := func(prepare func(*Controller, *Event)) *Action {
		controller := startController(t, testSettings())
		controller.advisor.marksRetries = true
		controller.estimator.speed.First = 1e-6 // so slow that nothing is in time
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{arrived(id, 0)}, nil)
		}
		event := arrived(1, 0)
		prepare(controller, &event)
		return requireAction(t, controller.Step(0, []Event{event}, nil), ActionReject, 1)
	}
	if action := rejection(func(*Controller, *Event) {}); action.Rejection.NoRetryElsewhere || action.Rejection.RetryAfter <= 0 {
		t.Errorf("trouble of this server alone: %+v", *action)
	}
	for _, marks := range []bool{true, false} {
		storm := func(controller *Controller, _ *Event) {
			controller.advisor.marksRetries = marks
			controller.advisor.arrivals.counts.First = 10
			controller.advisor.arrivals.counts.Second = 9
		}
		if action := rejection(storm); !action.Rejection.NoRetryElsewhere {
			t.Errorf("in a storm the client is sent on (retries marked: %v)", marks)
		}
	}
	if action := rejection(func(_ *Controller, event *Event) { event.Arrival.Waited = 1500 * ms }); !action.Rejection.NoRetryElsewhere {
		t.Error("a request whose objective is nearly over is sent on")
	}
}

// The fleet's rank of a request counts only while the CPU is short: a server with a free core runs any request, and a
// request that another server would run is not ended here.
func TestFleetRankCountsOnlyWhileCoresAreBusy(t *testing.T) {
	for _, test := range []struct {
		rank       FleetRank
		storm, end bool
		why        Reason
	}{{RankUnknown, false, false, ReasonCPU}, {RankUnknown, true, true, ReasonCPU}, {RankElsewhere, true, false, ReasonCPU},
		{RankFull, false, true, ReasonCPU}, {RankBelowThreshold, false, true, ReasonBelowThreshold}} {
		controller := startController(t, testSettings())
		event := arrived(1, 0)
		event.Arrival.FleetRank = test.rank
		requireAction(t, controller.Step(0, []Event{event}, nil), ActionRun, 1)
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{arrived(id, 0)}, nil)
		}
		controller.estimator.speed.First = 1e-6 // so slow that nothing is in time
		if test.storm {
			controller.advisor.arrivals.counts.First = 10
			controller.advisor.arrivals.counts.Second = 9
		}
		event.ID = 2
		action := requireAction(t, controller.Step(0, []Event{event}, nil), ActionReject, 2)
		rejection := action.Rejection
		if rejection.NoRetryElsewhere != test.end || rejection.Reason != test.why || test.end == (rejection.RetryAfter > 0) {
			t.Errorf("%+v: %+v", test, *action)
		}
	}
}

func TestMoreValuableArrivalDisplacesQueuedRequest(t *testing.T) {
	settings := testSettings()
	settings.MaxCallsInFlight = 0
	settings.Dependency = DependencyNone
	for i := range settings.Classes {
		settings.Classes[i].CallsDependency = false
	}
	controller := startController(t, settings)
	id := RequestID(0)
	for range 200 {
		id++
		controller.Step(0, []Event{arrived(id, 0)}, nil)
	}
	controller.settings.Classes[0].PriorityWeight = 1
	controller.settings.Classes[1].PriorityWeight = 3
	id++
	actions := controller.Step(0, []Event{arrived(id, 1)}, nil)
	requireNoAction(t, actions, ActionReject, id)
	if controller.requests[id] == nil {
		t.Error("a keyed request worth more was rejected for queued ones of less value")
	}
}

func TestRejectionOnArrivalLeavesQueueCounts(t *testing.T) {
	controller := startController(t, testSettings())
	controller.admitProbability.probability = 0 // all that comes while the cores are busy is refused on reading
	for id := RequestID(1); id <= 40; id++ {
		controller.Step(0, []Event{arrived(id, 0)}, nil)
	}
	if controller.queue.count != 0 || controller.queue.work != 0 || controller.queue.classes[0].count != 0 {
		t.Errorf("%d queued, %v s of work, %d of the class", controller.queue.count, controller.queue.work, controller.queue.classes[0].count)
	}
}

func TestRetryStormIsDetected(t *testing.T) {
	for _, marks := range []bool{true, false} {
		settings := testSettings()
		settings.MarksRetries = marks
		controller := startController(t, settings)
		controller.estimator.speed.First = 1e-6
		var last *Action
		for id := RequestID(1); id <= 60; id++ {
			event := arrived(id, 0)
			event.Arrival.Retry = marks
			if action := findAction(controller.Step(0, []Event{event}, nil), ActionReject, id); action != nil {
				last = action
			}
		}
		if last == nil || !last.Rejection.NoRetryElsewhere {
			t.Errorf("marks %v: %+v after 60 arrivals that are nearly all rejected", marks, last)
		}
	}
}

// A retry whose age is known has only the rest of its latency objective, so that no run is in vain; advice to stay away is
// jittered as the event says, up to the longest that is heeded.
func TestAttemptAgeShortensObjectiveAndJitterExtendsRetryAfter(t *testing.T) {
	first := func(age, spread time.Duration) (ran bool, rejected *Action) {
		controller := startController(t, testSettings())
		var events []Event
		for id := RequestID(1); id <= 16; id++ { // cores are taken, and some are queued
			events = append(events, arrived(id, 0))
		}
		controller.Step(10*ms, events, nil)
		event := arrived(99, 0)
		event.Arrival.SinceFirstAttempt = age
		event.Arrival.RetryJitter = spread
		actions := controller.Step(20*ms, []Event{event}, nil)
		return findAction(actions, ActionReject, 99) == nil, findAction(actions, ActionReject, 99)
	}
	if ran, _ := first(0, 0); !ran {
		t.Error("a first attempt that can be in time is rejected")
	}
	if ran, action := first(1900*ms, 0); ran || !action.Rejection.NoRetryElsewhere {
		t.Errorf("an attempt that can't be in time any more: %v %+v", ran, action)
	}
	controller := startController(t, testSettings())
	for id := RequestID(1); id <= 400; id++ {
		event := arrived(id, 0)
		event.Arrival.RetryJitter = time.Duration(id) * 10 * ms
		action := findAction(controller.Step(10*ms, []Event{event}, nil), ActionReject, id)
		if action == nil || action.Rejection.NoRetryElsewhere {
			continue
		}
		retryAfter := action.Rejection.RetryAfter
		if retryAfter < min(event.Arrival.RetryJitter, time.Second) || retryAfter > time.Second {
			t.Fatalf("%+v", *action)
		}
	}
}
