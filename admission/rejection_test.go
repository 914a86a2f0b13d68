package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
