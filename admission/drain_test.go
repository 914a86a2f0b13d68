package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that arrives after the grace period must not run, and a run that hangs must be answered before
// the process ends.
func TestDrainRejectsLateArrivalsAndAnswersAll(t *testing.T) {
	controller := startController(t, testSettings())
	actions := controller.Step(0, []Event{arrived(1, 0), DrainStarted(DrainSignal{StopAt: 3 * time.Second})}, nil)
	requireAction(t, actions, ActionRun, 1)
	actions = controller.Step(1200*ms, []Event{arrived(2, 0)}, nil)
	requireAction(t, actions, ActionReject, 2)
	requireNoAction(t, actions, ActionRun, 2)
	actions = nil
	for now := 1200 * ms; now < 3*time.Second; now += 5 * ms {
		actions = controller.Step(now, nil, actions)
	}
	requireAction(t, actions, ActionFail, 1)
}

// A draining server must be reported unhealthy and advertise a value that turns clients away.
func TestDrainAdvertisesNoCapacity(t *testing.T) {
	for advert, value := range map[Advert]float64{AdvertLevel: 1, AdvertCredit: 0, AdvertWeight: 0} {
		settings := testSettings()
		settings.Advert = advert
		controller := startController(t, settings)
		actions := controller.Step(200*ms, []Event{DrainStarted(DrainSignal{StopAt: 5 * time.Second})}, nil)
		if action := requireAction(t, actions, ActionAdvertise, 0); action.Value != value {
			t.Errorf("advert %d: value %v, want %v", advert, action.Value, value)
		}
		if action := requireAction(t, actions, ActionHealth, 0); action.Health.Healthy || !action.Health.Cached {
			t.Errorf("health answer %+v in a drain, want unhealthy and cached", action.Health)
		}
	}
}

// If no run ever ends, every request must still get an answer by its deadline.
func TestEveryRequestAnsweredByDeadlineWhenRunsHang(t *testing.T) {
	controller := startController(t, testSettings())
	var actions []Action
	for id := RequestID(1); id <= 40; id++ {
		actions = controller.Step(0, []Event{arrived(id, int(id)%4)}, actions)
	}
	for now := time.Duration(0); now <= 6*time.Second; now += 5 * ms {
		actions = controller.Step(now, nil, actions)
	}
	for id := RequestID(1); id <= 40; id++ {
		if findAction(actions, ActionReject, id) == nil && findAction(actions, ActionFail, id) == nil {
			t.Errorf("request %d has no answer at its deadline", id)
		}
	}
}

// A process that is replaced answers what it has read. The server continues, so no client may be turned away.
func TestDrainOfReplacedProcessKeepsHealth(t *testing.T) {
	controller := startController(t, testSettings())
	actions := controller.Step(0, []Event{arrived(1, 0), DrainStarted(DrainSignal{StopAt: 3 * time.Second, Replaced: true})}, nil)
	requireAction(t, actions, ActionRun, 1)
	if findAction(actions, ActionHealth, 0) != nil {
		t.Error("the health state changed although another process continues the server")
	}
	actions = nil
	for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
		actions = controller.Step(now, nil, actions)
	}
	requireAction(t, actions, ActionFail, 1)
}

// Deadlines and runs are bounded by the end of the process, and new runs by the grace period after the
// signal.
func TestDrainBoundsAnswerDeadlinesAndRuns(t *testing.T) {
	drain := drain{grace: time.Second}
	request := &request{deadline: 20 * time.Second}
	require.Equal(t, 20*time.Second-answerMargin, drain.answerDeadline(request))
	require.True(t, drain.acceptsRun(time.Hour, time.Hour), "no drain has started")
	require.True(t, drain.acceptsEnd(time.Hour))
	drain.start(10*time.Second, DrainSignal{Age: 2 * time.Second, StopAt: 14 * time.Second})
	require.Equal(t, 14*time.Second-stopMargin, drain.answerDeadline(request))
	require.True(t, drain.acceptsRun(9*time.Second, 13*time.Second))
	require.False(t, drain.acceptsRun(9*time.Second+1, 13*time.Second), "after the grace period, which began when the signal was given")
	require.False(t, drain.acceptsRun(9*time.Second, 14*time.Second))
	require.False(t, drain.acceptsEnd(14*time.Second))
	request.deadline = 12 * time.Second
	require.Equal(t, 12*time.Second-answerMargin, drain.answerDeadline(request))
}
