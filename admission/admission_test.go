package admission

import (
	"testing"
	"time"

	"falldeal/admission/internal/rolling"
)

// High CPU utilization without late requests, or late requests on idle cores (a slow dependency), must not
// make the server reject requests for lack of CPU time.
func TestAdmitProbabilityFallsOnlyIfCPUIsShortAndRequestsAreLate(t *testing.T) {
	controller := startController(t, testSettings())
	step := func(utilization, latency float64) float64 {
		controller.gauges.CPUUtilization = utilization
		controller.estimator.estimates[0].latency = rolling.AverageOf(latency)
		controller.admitProbability.adjust(controller.estimator.cpuOverloaded(controller.gauges))
		return controller.admitProbability.probability
	}
	if step(0.99, 0.5) != 1 || step(0.5, 9) != 1 {
		t.Fatal("the admit probability fell although only one of the conditions held")
	}
	if probability := step(0.99, 9); probability >= 1 {
		t.Fatal("the admit probability did not fall under CPU pressure with late requests")
	}
	if low := controller.admitProbability.probability; step(0.5, 9) <= low {
		t.Fatal("the admit probability did not rise after the CPU pressure had ended")
	}
}

// A retry whose first attempt is unknown must not get the full objective again: its answer would be late for
// the client.
func TestRetriesHaveShorterObjective(t *testing.T) {
	controller := startController(t, testSettings())
	again := arrived(1, 0)
	again.Arrival.Retry = true
	controller.Step(0, []Event{again}, nil)
	if got := controller.requests[1].objective; got >= 2*time.Second {
		t.Errorf("a retry has an objective of %v, want less than that of a first attempt", got)
	}
}

// A client may try another server if only this one is overloaded, but not in a retry storm or if the
// objective of the request is nearly over: such retries only add load.
func TestRejectionsAdviseOnRetryElsewhere(t *testing.T) {
	rejection := func(prepare func(*Controller, *Event)) *Action {
		controller := startController(t, testSettings())
		controller.advisor.marksRetries = true
		controller.estimator.speed.First = 1e-6 // too slow for any objective
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{arrived(id, 0)}, nil)
		}
		event := arrived(1, 0)
		prepare(controller, &event)
		return requireAction(t, controller.Step(0, []Event{event}, nil), ActionReject, 1)
	}
	if action := rejection(func(*Controller, *Event) {}); action.Rejection.NoRetryElsewhere || action.Rejection.RetryAfter <= 0 {
		t.Errorf("only this server is overloaded: %+v, want RetryAfter and a retry elsewhere allowed", *action)
	}
	for _, marks := range []bool{true, false} {
		storm := func(controller *Controller, _ *Event) {
			controller.advisor.marksRetries = marks
			controller.advisor.arrivals.counts.First = 10
			controller.advisor.arrivals.counts.Second = 9
		}
		if action := rejection(storm); !action.Rejection.NoRetryElsewhere {
			t.Errorf("a retry elsewhere is allowed in a retry storm (retries marked: %v)", marks)
		}
	}
	if action := rejection(func(_ *Controller, event *Event) { event.Arrival.ReadDelay = 1500 * ms }); !action.Rejection.NoRetryElsewhere {
		t.Error("a retry elsewhere is allowed for a request whose objective is nearly over")
	}
}

// A server with a free core runs a request of any rank. While the cores are busy, the rank decides the reason
// and the advice: a client must not be asked to stay away from a server that would run its request.
func TestFleetRankCountsOnlyWhileCoresAreBusy(t *testing.T) {
	for _, test := range []struct {
		rank           FleetRank
		storm, noRetry bool
		reason         Reason
	}{{RankUnknown, false, false, ReasonCPU}, {RankUnknown, true, true, ReasonCPU}, {RankElsewhere, true, false, ReasonCPU},
		{RankFull, false, true, ReasonCPU}, {RankBelowThreshold, false, true, ReasonBelowThreshold}} {
		controller := startController(t, testSettings())
		event := arrived(1, 0)
		event.Arrival.FleetRank = test.rank
		requireAction(t, controller.Step(0, []Event{event}, nil), ActionRun, 1)
		for id := RequestID(100); id < 110; id++ {
			controller.Step(0, []Event{arrived(id, 0)}, nil)
		}
		controller.estimator.speed.First = 1e-6 // too slow for any objective
		if test.storm {
			controller.advisor.arrivals.counts.First = 10
			controller.advisor.arrivals.counts.Second = 9
		}
		event.ID = 2
		action := requireAction(t, controller.Step(0, []Event{event}, nil), ActionReject, 2)
		rejection := action.Rejection
		if rejection.NoRetryElsewhere != test.noRetry || rejection.Reason != test.reason || test.noRetry == (rejection.RetryAfter > 0) {
			t.Errorf("%+v: %+v", test, *action)
		}
	}
}

// A request of more value must be admitted even if the queue is full of requests of little value.
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
		t.Error("a request was rejected although queued ones have less value")
	}
}

// A request that is rejected on arrival was never queued. If its release subtracted it from the queue anyway,
// the counts and sums of work would be too low.
func TestRejectionOnArrivalLeavesQueueCounts(t *testing.T) {
	controller := startController(t, testSettings())
	controller.admitProbability.probability = 0 // rejects all arrivals while the cores are busy
	for id := RequestID(1); id <= 40; id++ {
		controller.Step(0, []Event{arrived(id, 0)}, nil)
	}
	if controller.queue.count != 0 || controller.queue.work != 0 || controller.queue.classes[0].count != 0 {
		t.Errorf("%d queued, %v s of work, %d of the class, want 0", controller.queue.count, controller.queue.work, controller.queue.classes[0].count)
	}
}

// If nearly all arrivals are rejected, further retries elsewhere only add load. Where clients do not mark
// retries, each rejection for lack of CPU time counts as the retry that it causes.
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
			t.Errorf("retries marked: %v: %+v after 60 arrivals, want NoRetryElsewhere", marks, last)
		}
	}
}

// A retry whose age is known has only the rest of its latency objective, so that it is not run if its answer
// would be late. The jitter of a request is added to its RetryAfter, up to MaxRetryAfter.
func TestAttemptAgeShortensObjectiveAndJitterExtendsRetryAfter(t *testing.T) {
	offer := func(age, jitter time.Duration) (accepted bool, rejection *Action) {
		controller := startController(t, testSettings())
		var events []Event
		for id := RequestID(1); id <= 16; id++ { // all cores are busy, and some requests are queued
			events = append(events, arrived(id, 0))
		}
		controller.Step(10*ms, events, nil)
		event := arrived(99, 0)
		event.Arrival.SinceFirstAttempt = age
		event.Arrival.RetryJitter = jitter
		actions := controller.Step(20*ms, []Event{event}, nil)
		return findAction(actions, ActionReject, 99) == nil, findAction(actions, ActionReject, 99)
	}
	if accepted, _ := offer(0, 0); !accepted {
		t.Error("a first attempt that can meet its objective was rejected")
	}
	if accepted, action := offer(1900*ms, 0); accepted || !action.Rejection.NoRetryElsewhere {
		t.Errorf("an attempt that cannot meet its objective: accepted %v, %+v", accepted, action)
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
			t.Fatalf("RetryAfter does not cover the jitter or exceeds MaxRetryAfter: %+v", *action)
		}
	}
}
