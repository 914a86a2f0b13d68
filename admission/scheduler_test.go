package admission

import (
	"math"
	"testing"
	"time"

	"falldeal/admission/internal/rolling"
)

// Cost hints that do not correlate with run times must not make large hints look slow. Hints that do
// correlate must be used.
func TestImpreciseHintsDoNotSkewEstimates(t *testing.T) {
	var fit rolling.LinearFit
	for i := range 400 { // hints from 0.1 to 0.9, all runs take 0.3
		fit.Add([]float64{0.1, 0.3, 0.9}[i%3], 0.3, 0.1)
	}
	if got := fit.At(0.9); math.Abs(got-0.3) > 0.01 {
		t.Errorf("estimate %v for a hint of 0.9, want 0.3", got)
	}
	fit = rolling.LinearFit{}
	for i := range 400 { // run times in proportion to the hints
		x := []float64{0.1, 0.3, 0.9}[i%3]
		fit.Add(x, 2*x, 0.1)
	}
	if got := fit.At(0.9); math.Abs(got-1.8) > 0.01 {
		t.Errorf("estimate %v for a hint of 0.9, want 1.8", got)
	}
}

// If no run ends, new requests must be rejected and the queue must not grow.
func TestHungServerRejectsAndBoundsQueue(t *testing.T) {
	controller := startController(t, testSettings())
	var actions []Action
	for i := range 400 { // 4 s of arrivals, no run ends
		actions = controller.Step(time.Duration(i)*10*ms, []Event{arrived(RequestID(i+1), 0)}, nil)
	}
	requireAction(t, actions, ActionReject, 400)
	controller.Step(4100*ms, nil, nil)
	if controller.queue.count > 2*controller.settings.Cores {
		t.Errorf("%d requests queued on a hung server", controller.queue.count)
	}
}

// If all requests were rejected while the estimates say that none can be on time, no run would ever correct
// the estimates.
func TestTrialRunStartsThoughEveryRequestIsLate(t *testing.T) {
	for _, cores := range []int{1, 2, 6} {
		settings := testSettings()
		settings.Cores = cores
		controller := startController(t, settings)
		controller.estimator.speed.First = 1e-6
		controller.calls.limiter.callTime = rolling.AverageOf(9)
		requireAction(t, controller.Step(0, []Event{arrived(1, 0)}, nil), ActionRun, 1)
	}
}

// Requests that wait behind runs that hang must be rejected once their objective has passed, not only when a
// core is free.
func TestTooLateRequestsExpireWithoutFreeCore(t *testing.T) {
	controller := startController(t, testSettings())
	var actions []Action
	for id := RequestID(1); id <= 12; id++ {
		actions = controller.Step(0, []Event{arrived(id, 0)}, actions)
	}
	if controller.queue.count == 0 {
		t.Fatal("no request is queued")
	}
	for now := time.Duration(0); now <= 2100*ms; now += 10 * ms { // no run ends
		controller.Step(now, nil, nil)
	}
	if controller.queue.count != 0 {
		t.Errorf("%d requests queued after their objective", controller.queue.count)
	}
}
