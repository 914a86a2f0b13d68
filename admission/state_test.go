package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The memory of a controller that runs for weeks must not grow with the number of requests, clients and keys
// that it has seen.
func TestStateIsBoundedForManyClientsAndKeys(t *testing.T) {
	settings := testSettings()
	settings.Cores = 2
	settings.MaxCallsInFlight = 0.5
	controller := startController(t, settings)
	largest := 0
	var actions []Action
	for id := RequestID(1); id <= 100000; id++ {
		now := time.Duration(id) * 100 * ms
		event := arrived(id, int(id)%4)
		event.Arrival.Tenant = int(id) % 9
		event.Arrival.Retry = id%7 == 0
		events := []Event{event}
		for _, action := range actions { // runs end in the next batch
			if action.Kind == ActionRun {
				events = append(events, RunCompleted(action.ID, Completion{Duration: 100 * ms}))
			}
		}
		actions = controller.Step(now, events, actions[:0])
		size := len(controller.requests) + controller.keys.len() + controller.timers.deadlines.Len() + controller.calls.waiting.Len()
		for i := range controller.queue.classes {
			size += len(controller.queue.classes[i].requests)
		}
		largest = max(largest, size)
	}
	if largest > 500 {
		t.Errorf("%d entries kept at the same time for 10 requests per second", largest)
	}
}

// Events for unknown or ended requests, and duplicates, must not release resources twice: the counts would
// become negative.
func TestUnexpectedEventsChangeNothing(t *testing.T) {
	controller := startController(t, testSettings())
	for _, k := range []EventKind{EventRunCompleted, EventRequestCancelled, EventCallNeeded, EventCallCompleted} {
		controller.Step(0, []Event{{Kind: k, ID: 99}}, nil)
	}
	requireAction(t, startAndNeedCall(t, controller, 1, 0), ActionCall, 1)
	completed := CallCompleted(1, Completion{Duration: ms})
	controller.Step(2*ms, []Event{completed, completed, CallNeeded(5)}, nil)
	controller.Step(3*ms, []Event{RunCompleted(1, Completion{}), RunCompleted(1, Completion{}), arrived(2, 77)}, nil)
	require.Empty(t, controller.requests)
	require.Zero(t, controller.runs.running)
	require.Zero(t, controller.runs.onCPU)
	require.Zero(t, controller.memory.usedKB)
	require.Zero(t, controller.calls.limiter.inFlight)
}
