package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In a large fleet each client sends to this server only every few seconds. While reading takes its CPU time,
// a RetryAfter of 100 ms would not keep any client away.
func TestRetryAfterCoversClientInterval(t *testing.T) {
	rejection := func(clients int, waited, work time.Duration) *Action {
		settings := testSettings()
		settings.Clients = clients
		controller := startController(t, settings)
		now := time.Duration(0)
		var last *Action
		for id := RequestID(1); id <= 400; id++ {
			now += 50 * ms // 20 requests per second
			event := arrived(id, 1)
			event.Arrival.ReadDelay = waited
			event.Arrival.CostHint = work
			if action := findAction(controller.Step(now, []Event{event, TimerFired(idleGauges)}, nil), ActionReject, id); action != nil {
				last = action
			}
		}
		if last == nil {
			t.Fatalf("%d clients: nothing rejected", clients)
		}
		return last
	}
	// 150 clients with 20 requests per second: each returns after 7.5 s, so RetryAfter is MaxRetryAfter, also for
	// requests that are too late and must not be retried elsewhere.
	late := rejection(150, 900*ms, time.Second)
	if late.Rejection.Reason != ReasonTooLate || !late.Rejection.NoRetryElsewhere || late.Rejection.RetryAfter != time.Second {
		t.Errorf("%+v", *late)
	}
	// 10 clients: each returns after 500 ms.
	if action := rejection(10, 900*ms, time.Second); action.Rejection.RetryAfter < 400*ms || action.Rejection.RetryAfter > 600*ms {
		t.Errorf("%+v", *action)
	}
	// A single client sends all requests: RetryAfter is not extended, so that the server is not idle until then.
	if action := rejection(1, 900*ms, time.Second); action.Rejection.RetryAfter != 0 {
		t.Errorf("%+v", *action)
	}
	// The read delay is below its limit: RetryAfter is not extended.
	if action := rejection(150, 0, 3*time.Second); action.Rejection.RetryAfter >= time.Second {
		t.Errorf("%+v", *action)
	}
}

// Connections of many clients that rarely return would fill the connection table, so they must be closed
// early.
func TestIdleTimeoutIsShortForInfrequentClients(t *testing.T) {
	for clients, closed := range map[int]bool{5: false, 1000: true} {
		settings := testSettings()
		settings.Clients = clients
		controller := startController(t, settings)
		for i := range 1000 { // 10 requests per second
			controller.Step(time.Duration(i)*100*ms, []Event{arrived(RequestID(i+1), 0)}, nil)
			controller.Step(time.Duration(i)*100*ms+50*ms, []Event{RunCompleted(RequestID(i+1), Completion{})}, nil)
		}
		if got := controller.advisor.idleTimeout.current < settings.IdleTimeout; got != closed {
			t.Errorf("%d clients: unexpected idle timeout %v", clients, controller.advisor.idleTimeout.current)
		}
	}
}

// The credits of all clients together must not exceed what the server can run and queue, however many clients
// there are.
func TestCreditIsDividedAmongClients(t *testing.T) {
	settings := testSettings()
	settings.Advert = AdvertCredit
	settings.Clients = 1000
	controller, _ := New(settings, 1, 0)
	action := requireAction(t, controller.Step(0, nil, nil), ActionAdvertise, 0)
	if action.Value <= 0 || action.Value*1000 > maxRunsPerCore*2*float64(settings.Cores) {
		t.Errorf("credit %v for each of 1000 clients of a server with %d cores", action.Value, settings.Cores)
	}
}

// The reason and the advice in a rejection follow from its cause, the rank of the request in the fleet, and
// the time that is left.
func TestRejectionByCauseAndRank(t *testing.T) {
	const (
		early = time.Second / 10
		late  = time.Second * 6 / 10 // more than half of the objective has passed
	)
	for _, test := range []struct {
		name    string
		cause   Reason
		rank    FleetRank
		now     time.Duration
		reason  Reason
		noRetry bool
		after   time.Duration
	}{
		{"CPU", ReasonCPU, RankUnknown, early, ReasonCPU, false, 2050 * ms},
		{"CPU, too late for an attempt elsewhere", ReasonCPU, RankUnknown, late, ReasonTooLate, true, 0},
		{"CPU, another server runs it", ReasonCPU, RankElsewhere, early, ReasonCPU, false, 2050 * ms},
		{"CPU, the fleet is full", ReasonCPU, RankFull, early, ReasonCPU, true, 0},
		{"CPU, below the threshold", ReasonCPU, RankBelowThreshold, early, ReasonCPU, true, 0},
		{"below the threshold", ReasonBelowThreshold, RankBelowThreshold, early, ReasonBelowThreshold, true, 0},
		{"dependency", ReasonDependency, RankElsewhere, early, ReasonDependency, true, 0},
		{"memory", ReasonMemory, RankFull, early, ReasonMemory, false, 2050 * ms},
		{"drain", ReasonDraining, RankUnknown, early, ReasonDraining, false, 4000 * ms},
		{"drain, too late for an attempt elsewhere", ReasonDraining, RankUnknown, late, ReasonTooLate, true, 0},
	} {
		settings := testSettings()
		settings.MaxRetryAfter = 4 * time.Second
		settings.MarksRetries = true
		advisor := newClientAdvisor(&settings)
		advisor.configure(&settings)
		request := &request{objective: time.Second, fleetRank: test.rank, retryJitter: 50 * ms}
		got := advisor.reject(test.now, request, test.cause, 4)
		want := Rejection{Reason: test.reason, Cause: test.cause, RetryAfter: test.after, NoRetryElsewhere: test.noRetry}
		require.Equal(t, want, got, test.name)
	}
}

// Without MaxRetryAfter and SendsRetryAfter, a rejection carries no RetryAfter.
func TestNoRetryAfterIfClientsIgnoreIt(t *testing.T) {
	settings := testSettings()
	settings.SendsRetryAfter = false
	settings.MaxRetryAfter = 0
	advisor := newClientAdvisor(&settings)
	advisor.configure(&settings)
	got := advisor.reject(0, &request{objective: time.Second}, ReasonCPU, 4)
	require.Zero(t, got.RetryAfter)
}
