package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{Cores: 4, FleetSize: 10, Clients: 3, MemoryKB: 4000, RunningMemoryFactor: 4, KeyMemoryKB: 10,
		Classes: []Class{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, CallsDependency: true},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3, Idempotency: IdempotentByKey, IdempotencyWindow: 8 * time.Second, CallsDependency: true},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 2, Idempotency: Unsafe, LateValueRatio: 0.2, CallsDependency: true},
			{LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 2, DegradedValueRatio: 0.5, CallsDependency: true},
		},
		Tenants: []Tenant{{QuotaPerSecond: 300}, {QuotaPerSecond: 200}},
		Halt:    HaltDrop, Dependency: DependencyShared, MaxCallsInFlight: 6, CallsWindow: 5 * time.Second, AbandonedCallTime: 200 * ms,
		SlowStartSpeedRatio: 0.2, SlowStartTime: 10 * time.Second, MaxConcurrencyPerCore: 5, ConcurrencyWindow: 1500 * ms, AnswerGrace: 60 * ms,
		DrainGrace: time.Second, MaxRetryAfter: time.Second, SendsRetryAfter: true,
		IdleTimeout: 30 * time.Second, Tick: 5 * ms,
		ExcessValueRatio: 0.05}
}

func start(t testing.TB, s Settings) *Controller {
	t.Helper()
	c, err := New(s, 7, 0)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(0, nil, nil)
	return c
}

func req(id RequestID, class int) Event {
	return RequestArrived(id, Arrival{Class: class, MemoryKB: 10, CostHint: 100 * ms})
}

func find(as []Action, kind ActionKind, id RequestID) *Action {
	for i := range as {
		if as[i].Kind == kind && as[i].ID == id {
			return &as[i]
		}
	}
	return nil
}

func want(t *testing.T, as []Action, kind ActionKind, id RequestID) *Action {
	t.Helper()
	a := find(as, kind, id)
	if a == nil {
		t.Fatalf("no action of kind %d for %d in %+v", kind, id, as)
	}
	return a
}

func wantNone(t *testing.T, as []Action, kind ActionKind, id RequestID) {
	t.Helper()
	if a := find(as, kind, id); a != nil {
		t.Fatalf("unwanted action %+v", *a)
	}
}
