package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Half of a fleet's clients ask one server for the same subjects. Reading alone then takes its CPU, and advice of a tenth
// of a second does not change when a client returns that comes every few seconds.
func TestRetryAfterCoversClientInterval(t *testing.T) {
	refusal := func(clients int, waited, work time.Duration) *Action {
		s := testSettings()
		s.Clients = clients
		controller := start(t, s)
		now := time.Duration(0)
		var last *Action
		for id := RequestID(1); id <= 400; id++ {
			now += 50 * ms // 20 requests a second
			e := req(id, 1)
			e.Arrival.Waited, e.Arrival.CostHint = waited, work
			if a := find(controller.Step(now, []Event{e, TimerFired(calmGauges)}, nil), ActionReject, id); a != nil {
				last = a
			}
		}
		if last == nil {
			t.Fatalf("%d clients: nothing rejected", clients)
		}
		return last
	}
	// 150 clients with 20 requests a second come every 7.5 s, so they are sent off for as long as they heed, and
	// those whose time is over hear so too, beside the wish to try nowhere else.
	late := refusal(150, 900*ms, time.Second)
	if late.Rejection.Reason != ReasonTooLate || !late.Rejection.NoRetryElsewhere || late.Rejection.RetryAfter != time.Second {
		t.Errorf("%+v", *late)
	}
	// Ten come every half second.
	if a := refusal(10, 900*ms, time.Second); a.Rejection.RetryAfter < 400*ms || a.Rejection.RetryAfter > 600*ms {
		t.Errorf("%+v", *a)
	}
	// One client that sends all of them would leave the server idle: the advice is as it was.
	if a := refusal(1, 900*ms, time.Second); a.Rejection.RetryAfter != 0 {
		t.Errorf("%+v", *a)
	}
	// Where reading is in time it is as it was as well.
	if a := refusal(150, 0, 3*time.Second); a.Rejection.RetryAfter >= time.Second {
		t.Errorf("%+v", *a)
	}
}

func TestIdleTimeoutIsShortForRareClients(t *testing.T) {
	for clients, closed := range map[int]bool{5: false, 1000: true} {
		settings := testSettings()
		settings.Clients = clients
		controller := start(t, settings)
		for i := range 1000 { // 10 requests a second
			controller.Step(time.Duration(i)*100*ms, []Event{req(RequestID(i+1), 0)}, nil)
			controller.Step(time.Duration(i)*100*ms+50*ms, []Event{RunCompleted(RequestID(i+1), Completion{})}, nil)
		}
		if got := controller.advisor.idleTimeout.current < settings.IdleTimeout; got != closed {
			t.Errorf("%d clients: idle timeout %v", clients, controller.advisor.idleTimeout.current)
		}
	}
}

func TestCreditIsDividedAmongClients(t *testing.T) {
	s := testSettings()
	s.Advert, s.Clients = AdvertCredit, 1000
	c, _ := New(s, 1, 0)
	if a := want(t, c.Step(0, nil, nil), ActionAdvertise, 0); a.Value <= 0 || a.Value*1000 > maxRunsPerCore*2*float64(s.Cores) {
		t.Errorf("credit %v", a.Value)
	}
}

// What a client is told follows from why its request did not run and what the fleet knows of it.
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
		settings.MaxRetryAfter, settings.MarksRetries = 4*time.Second, true
		advisor := newClientAdvisor(&settings)
		advisor.configure(&settings)
		request := &request{objective: time.Second, fleetRank: test.rank, retryJitter: 50 * ms}
		got := advisor.reject(test.now, request, test.cause, 4)
		require.Equal(t, Rejection{Reason: test.reason, RetryAfter: test.after, NoRetryElsewhere: test.noRetry}, got, test.name)
	}
}

func TestNoAdviceWhereNoneIsHeeded(t *testing.T) {
	settings := testSettings()
	settings.SendsRetryAfter, settings.MaxRetryAfter = false, 0
	advisor := newClientAdvisor(&settings)
	advisor.configure(&settings)
	got := advisor.reject(0, &request{objective: time.Second}, ReasonCPU, 4)
	require.Zero(t, got.RetryAfter)
}
