package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recordedRequest is an attempt that the recorded server knows.
type recordedRequest struct {
	id         RequestID
	class      int
	work       time.Duration
	phase      attemptPhase
	startedAt  time.Duration
	endsAt     time.Duration // end of the run, the call or the reuse; 0: none is in progress
	calledAt   time.Duration
	callsAhead int // calls that the run still makes
	stopped    bool
	answered   bool
}

// recordedEpisode is the behaviour of the clients and the dependency for some time.
type recordedEpisode struct {
	load           float64 // arrivals per step
	lateReading    bool    // requests wait up to 2.5 s to be read
	gauges         func(*recordedServer) Gauges
	callTime       time.Duration
	callOutcomes   []Outcome
	fleetRanks     []FleetRank
	longestStep    time.Duration // longest time between two steps
	retryRatio     float64       // fraction of arrivals that are retries
	cancelledRatio float64       // probability per step that a client cancels a request
}

// recordedServer is a simple model of a server with its clients and its dependency. A seed determines its
// behaviour.
type recordedServer struct {
	t          *testing.T
	rng        *rand.Rand
	settings   Settings
	controller *Controller // never purges obsolete deadlines, so that its wakes are those of the digest
	purging    *Controller // gets the same events, and purges them
	now        time.Duration
	wakeAt     time.Duration
	lastID     RequestID
	live       []*recordedRequest // in order of ID
	remembered []RequestID        // in order of ActionRemember
	episode    recordedEpisode
	drainStep  int // step of the drain; beyond the last step if there is none
}

func newRecordedServer(t *testing.T, rng *rand.Rand, seed uint64) *recordedServer {
	t.Helper()
	settings := drawRecordedSettings(rng, seed)
	startAt := time.Duration(rng.IntN(3)) * 7 * time.Second
	controller, err := New(settings, seed, startAt)
	require.NoError(t, err)
	controller.timers.purge.purged(math.MaxInt / 2)
	purging, err := New(settings, seed, startAt)
	require.NoError(t, err)
	server := &recordedServer{t: t, rng: rng, settings: settings, controller: controller, purging: purging, now: startAt,
		drainStep: recordedStepsPerSeed + 1}
	if seed%4 != 3 {
		server.drainStep = recordedStepsPerSeed * 9 / 10
	}
	return server
}

// drawRecordedSettings draws settings that enable, disable and bound the rules of the controller.
func drawRecordedSettings(rng *rand.Rand, seed uint64) Settings {
	flip := func() bool { return rng.IntN(2) == 0 }
	settings := testSettings()
	settings.Cores = 1 + rng.IntN(8)
	settings.FleetSize = 1 + rng.IntN(40)
	settings.Clients = []int{0, 3, 200, 2000}[rng.IntN(4)]
	settings.MemoryKB = []float64{350, 1000, 4000, 100000}[rng.IntN(4)]
	settings.RunningMemoryFactor = []float64{0.5, 1, 4, 8}[rng.IntN(4)]
	settings.KeyMemoryKB = []float64{0, 2, 10, 100}[rng.IntN(4)]
	settings.Halt = Halt(seed % 3)
	settings.Advert = Advert(seed % 4)
	settings.Dependency = Dependency(rng.IntN(3))
	settings.MaxCallsInFlight = []float64{0, 0.3, 0.8, 2.5, 6, 60}[rng.IntN(6)]
	settings.CallsWindow = []time.Duration{0, time.Second, 5 * time.Second}[rng.IntN(3)]
	settings.AbandonedCallTime = []time.Duration{0, 200 * ms, 2 * time.Second}[rng.IntN(3)]
	settings.WarmingUp = flip()
	settings.SlowStartSpeedRatio = []float64{0, 0.05, 0.3}[rng.IntN(3)]
	settings.SlowStartTime = []time.Duration{0, 4 * time.Second, 20 * time.Second}[rng.IntN(3)]
	settings.MaxConcurrencyPerCore = []float64{0, 1.5, 3, 8}[rng.IntN(4)]
	settings.CacheTTL = []time.Duration{0, 300 * ms, 2 * time.Second}[rng.IntN(3)]
	settings.IdleTimeout = []time.Duration{0, 300 * ms, 30 * time.Second}[rng.IntN(3)]
	settings.MaxRetryAfter = []time.Duration{0, time.Second, 5 * time.Second}[rng.IntN(3)]
	settings.SendsRetryAfter = flip()
	settings.MarksRetries = flip()
	settings.WeightPerWork = flip()
	settings.ExcessValueRatio = []float64{0, 0.05, 0.5}[rng.IntN(3)]
	settings.Tenants = drawRecordedTenants(rng)
	drawRecordedClasses(rng, &settings)
	return settings
}

func drawRecordedTenants(rng *rand.Rand) []Tenant {
	tenants := make([]Tenant, rng.IntN(4))
	for i := range tenants {
		tenants[i] = Tenant{QuotaPerSecond: []float64{0, 5, 300}[rng.IntN(3)]}
	}
	return tenants
}

func drawRecordedClasses(rng *rand.Rand, settings *Settings) {
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.LatencyObjective = time.Duration(400+rng.IntN(2000)) * ms
		class.Deadline = class.LatencyObjective * time.Duration(1+rng.IntN(4))
		class.PriorityWeight = []float64{0.5, 1, 3, 10}[rng.IntN(4)]
		class.LateValueRatio = []float64{0, 0.2}[rng.IntN(2)]
		class.CallsDependency = rng.IntN(4) > 0
		class.IdempotencyWindow = []time.Duration{0, 500 * ms, 8 * time.Second}[rng.IntN(3)]
	}
	settings.Classes[0].DegradedValueRatio = []float64{0, 0.4}[rng.IntN(2)]
}

// operate applies occasional actions of operators and the fleet, and starts a new episode when one is due.
func (s *recordedServer) operate(step int, coverage *recordedCoverage) {
	const stepsPerEpisode = 125
	if step%stepsPerEpisode == 0 {
		s.episode = s.drawEpisode()
	}
	switch s.rng.IntN(250) {
	case 0:
		s.setProtectedCalls([]float64{-1, 0, 1, BreakerProtectedCalls}[s.rng.IntN(4)])
	case 1, 2:
		s.setProtectedCalls(BreakerProtectedCalls)
	case 3:
		s.reconfigure(coverage)
	}
}

func (s *recordedServer) setProtectedCalls(calls float64) {
	s.controller.SetProtectedCalls(calls)
	s.purging.SetProtectedCalls(calls)
}

// reconfigure changes the settings while requests are in flight. On average one third of the changes are
// invalid.
func (s *recordedServer) reconfigure(coverage *recordedCoverage) {
	settings := s.settings
	settings.Classes = slices.Clone(settings.Classes)
	settings.Tenants = drawRecordedTenants(s.rng)
	settings.CallsWindow = []time.Duration{time.Second, 3 * time.Second}[s.rng.IntN(2)]
	settings.RunningMemoryFactor = []float64{1, 2, 4}[s.rng.IntN(3)]
	settings.KeyMemoryKB = []float64{2, 8}[s.rng.IntN(2)]
	settings.MaxCallsInFlight = []float64{0, 0.4, 4, 30}[s.rng.IntN(4)]
	settings.Cores = 1 + s.rng.IntN(8)
	settings.WarmingUp = !settings.WarmingUp
	last := len(settings.Classes) - 1
	settings.Classes[last].Removed = s.rng.IntN(2) == 0
	if len(settings.Classes) < 7 && s.rng.IntN(2) == 0 {
		added := settings.Classes[s.rng.IntN(last+1)]
		added.Removed = false
		settings.Classes = append(settings.Classes, added)
	}
	switch s.rng.IntN(6) {
	case 0:
		settings.Classes = settings.Classes[:1]
	case 1:
		settings.Cores = 0
	}
	err := s.controller.Reconfigure(settings)
	require.Equal(s.t, err, s.purging.Reconfigure(settings))
	if err != nil {
		coverage.rejectedSettings++
		return
	}
	coverage.reconfigured++
	s.settings = settings
}

func (s *recordedServer) drawEpisode() recordedEpisode {
	capacity := float64(s.settings.Cores) / 8 // approximate runs per step
	measured := func(s *recordedServer) Gauges { return s.measuredGauges() }
	unknown := func(*recordedServer) Gauges { return Gauges{-1, -1, -1, -1} }
	overloaded := func(s *recordedServer) Gauges {
		return Gauges{CPUUtilization: 0.97, CPUDemand: 2.5 * float64(s.settings.Cores), MemoryUtilization: 0.9, Connections: 400}
	}
	episode := recordedEpisode{
		load:           capacity * []float64{0, 0.2, 0.7, 1.2, 3, 6}[s.rng.IntN(6)],
		lateReading:    s.rng.IntN(6) == 0,
		gauges:         []func(*recordedServer) Gauges{measured, measured, overloaded, unknown}[s.rng.IntN(4)],
		callTime:       []time.Duration{10 * ms, 40 * ms, 400 * ms, 1500 * ms}[s.rng.IntN(4)],
		callOutcomes:   []Outcome{OutcomeOK},
		fleetRanks:     []FleetRank{RankUnknown},
		longestStep:    []time.Duration{15 * ms, 15 * ms, 15 * ms, 1200 * ms}[s.rng.IntN(4)],
		retryRatio:     []float64{0.05, 0.3, 0.8}[s.rng.IntN(3)],
		cancelledRatio: []float64{0, 0.02}[s.rng.IntN(2)],
	}
	switch s.rng.IntN(4) {
	case 0:
		episode.callOutcomes = []Outcome{OutcomeFailed, OutcomeUnreachable}
	case 1:
		episode.callOutcomes = []Outcome{OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut,
			OutcomeUnreachable, OutcomeAborted, OutcomeCancelled, OutcomeNotStarted}
	}
	if s.rng.IntN(3) == 0 {
		episode.fleetRanks = []FleetRank{RankUnknown, RankElsewhere, RankFull, RankBelowThreshold}
	}
	return episode
}

func (s *recordedServer) measuredGauges() Gauges {
	onCPU := 0.0
	for _, request := range s.live {
		if request.phase == attemptRunning {
			onCPU++
		}
	}
	cores := float64(s.settings.Cores)
	return Gauges{CPUUtilization: min(onCPU/cores, 1), CPUDemand: onCPU, MemoryUtilization: 0.4,
		Connections: float64(s.rng.IntN(100))}
}
