package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// retrySimulation simulates servers that report attempts to each other. Their clients retry at random servers.
type retrySimulation struct {
	random     *rand.Rand
	counters   []*RetryCounter
	retryRatio float64 // probability that a further attempt follows an attempt
	lossRatio  float64 // probability that a report is lost
	dead       int     // index of the member that was lost; noMember before the loss
	attempts   float64 // number of attempts that reached a server
	requests   float64 // number of requests with at least one such attempt
}

func newRetrySimulation(members int, retryRatio, lossRatio float64) *retrySimulation {
	simulation := &retrySimulation{
		random:     rand.New(rand.NewPCG(5, uint64(members))),
		retryRatio: retryRatio,
		lossRatio:  lossRatio,
		dead:       noMember,
	}
	for range members {
		simulation.counters = append(simulation.counters, NewRetryCounter())
	}
	return simulation
}

// run simulates 20 seconds, with the loss of a member in the middle. Its counts are lost, and its requests are assigned to
// other members.
func (s *retrySimulation) run(t *testing.T) {
	t.Helper()
	const end, lossAt, requestsPerMember, lost = 20 * time.Second, 10 * time.Second, 60, 2
	for now := time.Second; now < end; now += time.Second {
		if now == lossAt {
			s.dead = lost
			s.counters[lost] = NewRetryCounter()
		}
		for range requestsPerMember * len(s.counters) {
			s.request(now)
		}
		for member := range s.counters {
			s.sendReports(t, now, member)
		}
	}
}

// request simulates all attempts of a request, each at a random server.
func (s *retrySimulation) request(now time.Duration) {
	fingerprint := Fingerprint("preview", "k", "", s.random.IntN(6), s.random.Float64(), s.random.Float64())
	reached := false
	for {
		member := s.random.IntN(len(s.counters))
		if member != s.dead {
			reached = true
			s.attempts++
			s.counters[member].RecordAttempt(now, fingerprint)
		}
		if s.random.Float64() >= s.retryRatio {
			break
		}
	}
	if reached {
		s.requests++
	}
}

// sendReports delivers the reports of a member; some are lost.
func (s *retrySimulation) sendReports(t *testing.T, now time.Duration, member int) {
	t.Helper()
	reports := s.counters[member].Tick(now, s.view(now, member))
	require.LessOrEqual(t, len(reports), 4*targetReportRate)
	for _, report := range reports {
		attempts, ok := ParseAttemptReport(AppendAttemptReport(nil, report))
		require.True(t, ok)
		require.Equal(t, report.Attempts, attempts)
		if s.random.Float64() >= s.lossRatio {
			s.counters[report.To.Run-1].HandleReport(now, attempts)
		}
	}
}

// view returns the view of a member, in which the lost member has failed.
func (s *retrySimulation) view(now time.Duration, observer int) *fleet.Snapshot {
	view := viewOf(len(s.counters), now, func(int) fleet.Load { return fleet.Load{} })
	setObserver(view, observer)
	for i := range view.Members {
		if view.Members[i].Name == fmt.Sprint("n", s.dead) {
			view.Members[i].Liveness = fleet.Failed
		}
	}
	return view
}

// Retries are not marked, and each member sees only some attempts of a request. The members together must estimate the
// ratio of retries within maxError, even if reports and a counting member are lost.
func TestRetryCounterAccuracy(t *testing.T) {
	for _, test := range []struct {
		members               int
		retryRatio, lossRatio float64
		maxError              float64
	}{
		{5, 0, 0, 0.01},
		{5, 0.5, 0, 0.05},
		{12, 0.3, 0, 0.05},
		{12, 0.6, 0.05, 0.08},
		{100, 0.4, 0, 0.05},
	} {
		simulation := newRetrySimulation(test.members, test.retryRatio, test.lossRatio)
		simulation.run(t)
		var attemptRate, counted float64
		for _, counter := range simulation.counters {
			attemptRate += counter.AttemptRate()
			counted += counter.AttemptRate() * counter.RetryRatio()
			require.LessOrEqual(t, len(counter.tally.tracked.expires), maxTrackedRequests)
		}
		exact := 1 - simulation.requests/simulation.attempts
		require.InDelta(t, exact, counted/attemptRate, test.maxError,
			"%d members, %.0f%% retries", test.members, 100*test.retryRatio)
	}
}

// An attempt must count as a known retry only within rejectionRetention after the rejection. The set of rejected requests
// must be bounded, or a retry storm would exhaust memory.
func TestRetryCounterRejectionsExpire(t *testing.T) {
	counter := NewRetryCounter()
	require.False(t, counter.RecordAttempt(0, 7))
	counter.RecordRejection(0, 7)
	require.True(t, counter.RecordAttempt(rejectionRetention-1, 7))
	require.False(t, counter.RecordAttempt(rejectionRetention, 7))
	for fingerprint := range uint64(3 * maxRejections) {
		counter.RecordRejection(0, fingerprint)
	}
	require.Len(t, counter.rejected.expires, maxRejections)
}
