package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Retries of a request that is idempotent by key must get the result of its run and must not run again,
// whether they arrive during the run or after it.
func TestIdempotentRequestRunsOnce(t *testing.T) {
	controller := startController(t, testSettings())
	actions := controller.Step(0, []Event{arrived(1, 1)}, nil)
	requireAction(t, actions, ActionRemember, 1)
	requireAction(t, actions, ActionRun, 1)
	again := arrived(2, 1)
	again.Arrival.RetryOf = 1
	actions = controller.Step(ms, []Event{again}, nil)
	requireAction(t, actions, ActionReuse, 2)
	requireNoAction(t, actions, ActionRun, 2)
	controller.Step(200*ms, []Event{
		RunCompleted(1, Completion{Duration: 200 * ms}), RunCompleted(2, Completion{Duration: 200 * ms}),
	}, nil)
	again.ID = 3
	requireAction(t, controller.Step(time.Second, []Event{again}, nil), ActionReuse, 3)
}

// A retry does not run while the first attempt, its leader, is queued. If the first attempt is cancelled
// then, the retry must run instead, or it would never be answered.
func TestFollowerIsPromotedWhenLeaderIsCancelled(t *testing.T) {
	settings := testSettings()
	settings.Cores = 1
	controller := startController(t, settings)
	requireAction(t, controller.Step(0, []Event{arrived(8, 0)}, nil), ActionRun, 8)
	requireAction(t, controller.Step(0, []Event{arrived(9, 0)}, nil), ActionRun, 9)
	// One core runs at most two requests, so the next one is queued.
	controller.Step(0, []Event{arrived(1, 1)}, nil)
	if controller.requests[1] == nil || controller.requests[1].state != queued {
		t.Fatal("request 1 is not queued")
	}
	retry := arrived(2, 1)
	retry.Arrival.RetryOf = 1
	requireNoAction(t, controller.Step(ms, []Event{retry}, nil), ActionReuse, 2)
	actions := controller.Step(2*ms, []Event{RequestCancelled(1)}, nil)
	ended := []Event{RunCompleted(8, Completion{Duration: 100 * ms}), RunCompleted(9, Completion{Duration: 100 * ms})}
	actions = controller.Step(100*ms, ended, actions)
	requireAction(t, actions, ActionRemember, 2)
	requireAction(t, actions, ActionRun, 2)
}

// A request must be rejected if there is no memory for its key. Without an entry for the key, a retry would
// run the request again.
func TestRequestIsRejectedWithoutMemoryForKey(t *testing.T) {
	settings := testSettings()
	settings.KeyMemoryKB = settings.MemoryKB
	controller := startController(t, settings)
	actions := controller.Step(0, []Event{arrived(1, 1)}, nil)
	requireAction(t, actions, ActionReject, 1)
	requireNoAction(t, actions, ActionRun, 1)
}

// A client that sends retries of a request that waits to run, and cancels them at once, must not make the list of its followers
// grow with its rate. Those that had ended were kept until the request ran.
func TestEndedFollowersAreDropped(t *testing.T) {
	leader, waiting := &request{id: 1, state: queued}, &request{id: 2}
	waiting.follow(leader)
	for range 100 * minPurgeSize {
		cancelled := &request{}
		cancelled.follow(leader)
		cancelled.state = released
		require.LessOrEqual(t, len(leader.followers), minPurgeSize)
	}
	require.Same(t, waiting, leader.followers[0])
}
