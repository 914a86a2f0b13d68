package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The breaker's probability is that of its formula over a plain list of the calls in the window.
func TestBreakerAgainstPlainList(t *testing.T) {
	const bucket = breakerWindow / breakerBuckets
	type call struct {
		at time.Duration
		ok bool
	}
	rng := rand.New(rand.NewPCG(2, 2))
	breaker := newCircuitBreaker(0)
	var calls []call
	now := time.Duration(0)
	for range 4000 {
		now += time.Duration(rng.IntN(40)) * ms
		ended := call{now, rng.IntN(3) > 0}
		calls = append(calls, ended)
		outcome := OutcomeFailed
		if ended.ok {
			outcome = OutcomeOK
		}
		breaker.record(now, outcome)
		total, accepts := 0.0, 0.0
		for _, earlier := range calls {
			if int64(now/bucket)-int64(earlier.at/bucket) >= breakerBuckets {
				continue
			}
			total++
			if earlier.ok {
				accepts++
			}
		}
		want := math.Max(0, (total-BreakerProtectedCalls-1.5*accepts)/(total+1))
		require.InDelta(t, want, breaker.dropProbability(now), 1e-12)
	}
}

func TestBreakerCountsOnlyOKAsAccepted(t *testing.T) {
	for outcome := OutcomeOK; outcome <= OutcomeNotStarted; outcome++ {
		breaker := newCircuitBreaker(0)
		for range 50 {
			breaker.record(0, outcome)
		}
		require.Equal(t, outcome != OutcomeOK, breaker.dropProbability(0) > 0, outcome)
	}
	breaker := newCircuitBreaker(0)
	require.False(t, breaker.mayNotProbe())
	breaker.protectedCalls = -1
	require.True(t, breaker.mayNotProbe())
	require.Positive(t, breaker.dropProbability(0), "even the first call is dropped")
}

func TestAdmissionRateStaysWithinBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	rate := newAdmissionRate(rng)
	require.True(t, rate.recovered())
	require.False(t, rate.reduced())
	for range 100 {
		rate.adjust(true)
	}
	require.InDelta(t, minAdmitProbability, rate.probability, 0)
	require.True(t, rate.reduced())
	admittedCount := 0
	for range 10000 {
		if rate.admits() {
			admittedCount++
		}
	}
	require.InDelta(t, 10000*minAdmitProbability, admittedCount, 100)
	for range 100 {
		rate.adjust(false)
	}
	require.True(t, rate.recovered())
}

func TestCPUPressure(t *testing.T) {
	for _, test := range []struct {
		name   string
		gauges Gauges
		want   bool
	}{
		{"idle", Gauges{CPUUtilization: 0.1, CPUDemand: 0}, false},
		{"full", Gauges{CPUUtilization: 0.95, CPUDemand: 4}, true},
		{"crowded", Gauges{CPUUtilization: -1, CPUDemand: 9}, true},
		{"at its limits", Gauges{CPUUtilization: 0.9, CPUDemand: 8}, false},
		{"unknown", unknownGauges, false},
	} {
		require.Equal(t, test.want, underCPUPressure(test.gauges, 4), test.name)
	}
}

func TestSlowStart(t *testing.T) {
	cold := slowStart{warmingUp: true, initialRatio: 0.2, duration: 10 * time.Second, startedAt: time.Second}
	for _, test := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 0.2}, {6 * time.Second, 0.6}, {11 * time.Second, 1}, {time.Hour, 1}} {
		require.InDelta(t, test.want, cold.speedRatio(test.at), 1e-12, test.at)
	}
	require.InDelta(t, 0.2, cold.assumedInitialRatio(), 0)
	cold.initialRatio = 0
	require.InDelta(t, minSlowStartSpeed, cold.assumedInitialRatio(), 0)
	warm := slowStart{initialRatio: 0.2, duration: 10 * time.Second}
	require.InDelta(t, 1, warm.speedRatio(0), 0)
	require.InDelta(t, 1, warm.assumedInitialRatio(), 0)
}

func TestRunLimitFollowsDemand(t *testing.T) {
	limiter := newConcurrencyLimiter(0, &Settings{Cores: 4, MaxConcurrencyPerCore: 5})
	for _, test := range []struct {
		name   string
		demand float64
		queued bool
		want   float64 // after many sweeps
	}{
		{"idle cores beside a queue", 2, true, maxRunsPerCore * 4},
		{"crowded", 9, true, 4},
		{"idle cores without a queue", 2, false, 4},
		{"unknown", -1, true, 4},
	} {
		for range 100 {
			limiter.adjust(test.demand, test.queued)
		}
		require.InDelta(t, test.want, limiter.runLimit, 1e-9, test.name)
	}
	require.InDelta(t, 16, limiter.concurrencyLimit(0), 1e-9)
	require.Equal(t, 1, limiter.trialRuns())
}

// The counts of runs stay those of a plain set of runs.
func TestRunsAreCounted(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	limiter := newConcurrencyLimiter(0, &Settings{Cores: 4, MaxConcurrencyPerCore: 5})
	var onCPU, waiting []float64 // their work
	sum := func(works []float64) (total float64) {
		for _, work := range works {
			total += work
		}
		return total
	}
	for range 5000 {
		switch roll := rng.IntN(4); {
		case roll == 0:
			work := float64(rng.IntN(8))
			limiter.start(work)
			onCPU = append(onCPU, work)
		case roll == 1 && len(onCPU) > 0:
			limiter.releaseCPU()
			waiting = append(waiting, onCPU[0])
			onCPU = onCPU[1:]
		case roll == 2 && len(waiting) > 0:
			limiter.reacquireCPU()
			onCPU = append(onCPU, waiting[0])
			waiting = waiting[1:]
		case roll == 3 && len(waiting) > 0:
			limiter.end(waiting[0])
			waiting = waiting[1:]
		}
		require.Equal(t, len(onCPU), limiter.onCPU)
		require.Equal(t, len(onCPU)+len(waiting), limiter.running)
		require.InDelta(t, sum(onCPU)+sum(waiting), limiter.work, 1e-9)
		require.Equal(t, len(onCPU) >= 4, limiter.allCoresBusy())
		require.Equal(t, float64(len(onCPU)) < limiter.runLimit, limiter.underRunLimit())
		require.Equal(t, len(onCPU) < 6 && limiter.running < 16, limiter.mayStart(0))
		require.Equal(t, limiter.running >= 1, limiter.enoughTrials())
	}
}

func TestMemoryBudget(t *testing.T) {
	var memory memoryBudget
	memory.configure(&Settings{MemoryKB: 1000, RunningMemoryFactor: 4, KeyMemoryKB: 10})
	require.InDelta(t, 920, memory.limitKB(), 1e-9)
	require.InDelta(t, 60, memory.runningExtraKB(20), 0)
	memory.take(459)
	require.True(t, memory.allowsCaching())
	memory.take(461)
	require.False(t, memory.allowsCaching())
	require.False(t, memory.exceeded(), "at the limit")
	require.True(t, memory.wouldExceed(1))
	memory.take(1)
	require.True(t, memory.exceeded())
	memory.giveBack(1)
	require.False(t, memory.exceeded())
	requests := map[RequestID]*request{1: {memoryKB: 10, state: queued}, 2: {memoryKB: 20, state: awaitingCall}}
	memory.recount(requests, 3)
	require.InDelta(t, 10+80+30, memory.usedKB, 0)
}

func TestTenantQuotas(t *testing.T) {
	var quotas tenantQuotas
	quotas.configure(&Settings{FleetSize: 4, ExcessValueRatio: 0.25,
		Tenants: []Tenant{{QuotaPerSecond: 40}, {QuotaPerSecond: 4}, {}}})
	for now := time.Duration(0); now < time.Minute; now += 50 * ms { // 20 requests a second of each
		for tenant := range 3 {
			quotas.count(now, tenant)
		}
	}
	quotas.weigh(time.Minute)
	require.InDelta(t, 0.5, quotas.valueFactor(0), 0.02, "10 of 20 requests count")
	require.InDelta(t, 0.25, quotas.valueFactor(1), 0, "the least part")
	require.InDelta(t, 1, quotas.valueFactor(2), 0, "no quota")
	quotas.weigh(2 * time.Minute)
	require.InDelta(t, 1, quotas.valueFactor(0), 0, "nothing is offered any more")
	require.Equal(t, 0, quotas.known(-1))
	require.Equal(t, 2, quotas.known(2))
	require.Equal(t, 0, quotas.known(3))
	quotas.configure(&Settings{}) // states of tenants stay
	require.Equal(t, 2, quotas.known(2))
	require.Zero(t, quotas.serverQuota(2))
	var none tenantQuotas
	none.configure(&Settings{})
	require.Equal(t, 0, none.known(5))
	require.InDelta(t, 1, none.valueFactor(0), 0)
}
