package admission

import (
	"testing"
	"time"
)

func TestIdempotentRequestRunsOneTime(t *testing.T) {
	controller := start(t, testSettings())
	actions := controller.Step(0, []Event{req(1, 1)}, nil)
	want(t, actions, ActionRemember, 1)
	want(t, actions, ActionRun, 1)
	again := req(2, 1)
	again.Arrival.RetryOf = 1
	actions = controller.Step(ms, []Event{again}, nil)
	want(t, actions, ActionReuse, 2)
	wantNone(t, actions, ActionRun, 2)
	controller.Step(200*ms, []Event{RunCompleted(1, Completion{Took: 200 * ms}), RunCompleted(2, Completion{Took: 200 * ms})}, nil)
	again.ID = 3
	want(t, controller.Step(time.Second, []Event{again}, nil), ActionReuse, 3)
}

func TestFollowerIsPromotedWhenLeaderIsCancelled(t *testing.T) {
	settings := testSettings()
	settings.Cores = 1
	controller := start(t, settings)
	want(t, controller.Step(0, []Event{req(8, 0)}, nil), ActionRun, 8)
	want(t, controller.Step(0, []Event{req(9, 0)}, nil), ActionRun, 9) // no more run at a time
	controller.Step(0, []Event{req(1, 1)}, nil)
	if controller.requests[1] == nil || controller.requests[1].state != queued {
		t.Fatal("request 1 is not queued")
	}
	retry := req(2, 1)
	retry.Arrival.RetryOf = 1
	wantNone(t, controller.Step(ms, []Event{retry}, nil), ActionReuse, 2)
	actions := controller.Step(2*ms, []Event{RequestCancelled(1)}, nil)
	ended := []Event{RunCompleted(8, Completion{Took: 100 * ms}), RunCompleted(9, Completion{Took: 100 * ms})}
	actions = controller.Step(100*ms, ended, actions)
	want(t, actions, ActionRemember, 2)
	want(t, actions, ActionRun, 2)
}

func TestNoMemoryForKeyMeansNoRun(t *testing.T) {
	s := testSettings()
	s.KeyMemoryKB = s.MemoryKB
	c := start(t, s)
	as := c.Step(0, []Event{req(1, 1)}, nil)
	want(t, as, ActionReject, 1)
	wantNone(t, as, ActionRun, 1)
}
