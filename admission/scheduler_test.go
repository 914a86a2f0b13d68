package admission

import (
	"math"
	"testing"
	"time"

	"falldeal/admission/internal/rolling"
)

func TestImpreciseHintsDoNotSkewEstimates(t *testing.T) {
	var field rolling.LinearFit
	for i := range 400 { // true time 0.3, hints between 0.1 and 0.9
		field.Add([]float64{0.1, 0.3, 0.9}[i%3], 0.3, 0.1)
	}
	if got := field.At(0.9); math.Abs(got-0.3) > 0.01 {
		t.Errorf("a hint of 0.9 is taken for %v", got)
	}
	field = rolling.LinearFit{}
	for i := range 400 { // good hints
		x := []float64{0.1, 0.3, 0.9}[i%3]
		field.Add(x, 2*x, 0.1)
	}
	if got := field.At(0.9); math.Abs(got-1.8) > 0.01 {
		t.Errorf("a good hint of 0.9 is taken for %v", got)
	}
}

func TestHungServerRejectsAndBoundsQueue(t *testing.T) {
	controller := startController(t, testSettings())
	var actions []Action
	for i := range 400 { // 4 s of arrivals, no run ends
		actions = controller.Step(time.Duration(i)*10*ms, []Event{arrived(RequestID(i+1), 0)}, nil)
	}
	requireAction(t, actions, ActionReject, 400)
	controller.Step(4100*ms, nil, nil)
	if controller.queue.count > 2*controller.settings.Cores {
		t.Errorf("%d requests queued by a hung server", controller.queue.count)
	}
}

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

func TestTooLateRequestsExpireWithoutFreeCore(t *testing.T) {
	controller := startController(t, testSettings())
	var actions []Action
	for id := RequestID(1); id <= 12; id++ {
		actions = controller.Step(0, []Event{arrived(id, 0)}, actions)
	}
	if controller.queue.count == 0 {
		t.Fatal("nothing queued")
	}
	for now := time.Duration(0); now <= 2100*ms; now += 10 * ms { // no run ends
		controller.Step(now, nil, nil)
	}
	if controller.queue.count != 0 {
		t.Errorf("%d queued after their objective", controller.queue.count)
	}
}
