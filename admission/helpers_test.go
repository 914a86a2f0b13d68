package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a warm server with 4 cores and a class of each kind.
func testSettings() Settings {
	return Settings{
		Cores:               4,
		FleetSize:           10,
		Clients:             3,
		MemoryKB:            4000,
		RunningMemoryFactor: 4,
		KeyMemoryKB:         10,
		Classes: []Class{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, CallsDependency: true},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3, CallsDependency: true,
				Idempotency: IdempotentByKey, IdempotencyWindow: 8 * time.Second},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 2, CallsDependency: true,
				Idempotency: Unsafe, LateValueRatio: 0.2},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 2, CallsDependency: true,
				DegradedValueRatio: 0.5},
		},
		Tenants:               []Tenant{{QuotaPerSecond: 300}, {QuotaPerSecond: 200}},
		Halt:                  HaltDrop,
		Dependency:            DependencyShared,
		MaxCallsInFlight:      6,
		CallsWindow:           5 * time.Second,
		AbandonedCallTime:     200 * ms,
		SlowStartSpeedRatio:   0.2,
		SlowStartTime:         10 * time.Second,
		MaxConcurrencyPerCore: 5,
		ConcurrencyWindow:     1500 * ms,
		AnswerGrace:           60 * ms,
		DrainGrace:            time.Second,
		MaxRetryAfter:         time.Second,
		SendsRetryAfter:       true,
		IdleTimeout:           30 * time.Second,
		Tick:                  5 * ms,
		ExcessValueRatio:      0.05,
	}
}

// startController returns a controller that has taken its first step, at time 0.
func startController(t testing.TB, settings Settings) *Controller {
	t.Helper()
	controller, err := New(settings, 7, 0)
	if err != nil {
		t.Fatal(err)
	}
	controller.Step(0, nil, nil)
	return controller
}

// arrived returns the arrival of a small request with a cost hint.
func arrived(id RequestID, class int) Event {
	return RequestArrived(id, Arrival{Class: class, MemoryKB: 10, CostHint: 100 * ms})
}

// findAction returns the first action of a kind for a request, or nil.
func findAction(actions []Action, kind ActionKind, id RequestID) *Action {
	for i := range actions {
		if actions[i].Kind == kind && actions[i].ID == id {
			return &actions[i]
		}
	}
	return nil
}

// requireAction fails the test if there is no such action, and returns it otherwise.
func requireAction(t *testing.T, actions []Action, kind ActionKind, id RequestID) *Action {
	t.Helper()
	action := findAction(actions, kind, id)
	if action == nil {
		t.Fatalf("no action %v for request %d in %+v", kind, id, actions)
	}
	return action
}

// requireNoAction fails the test if there is such an action.
func requireNoAction(t *testing.T, actions []Action, kind ActionKind, id RequestID) {
	t.Helper()
	if action := findAction(actions, kind, id); action != nil {
		t.Fatalf("unexpected action %+v", *action)
	}
}
