package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// serverCapacity is the service rate of a simulated server in seconds of work per second, and its number of cores.
const serverCapacity = 4.0

// sheddingSimulation simulates servers that receive random requests and shed those below the threshold.
type sheddingSimulation struct {
	random    *rand.Rand
	shedders  []*Shedder
	loads     []fleet.Load                       // published load of each server
	misreport func(member int, load *fleet.Load) // changes the published load of a server; nil = no change
	admitted  []float64                          // admitted work of each server in the last step, in seconds per second
	rejected  []float64                          // rejected work of each server in the last step, in seconds per second
}

func newSheddingSimulation(servers int, misreport func(member int, load *fleet.Load)) *sheddingSimulation {
	simulation := &sheddingSimulation{
		random:    rand.New(rand.NewPCG(3, uint64(servers))),
		loads:     make([]fleet.Load, servers),
		misreport: misreport,
	}
	for range servers {
		simulation.shedders = append(simulation.shedders, &Shedder{})
	}
	return simulation
}

// run simulates a span of time. requestRate is the number of requests per second at all servers together.
func (s *sheddingSimulation) run(span time.Duration, requestRate float64) {
	const step = 500 * time.Millisecond
	for now := step; now < span; now += step {
		s.tick(now)
		s.admitted, s.rejected = make([]float64, len(s.shedders)), make([]float64, len(s.shedders))
		for range int(requestRate * step.Seconds()) {
			s.request(step)
		}
		s.publishLoads()
	}
}

func (s *sheddingSimulation) tick(now time.Duration) {
	view := viewOf(len(s.shedders), now, func(member int) fleet.Load { return s.loads[member] })
	for member, shedder := range s.shedders {
		setObserver(view, member)
		own := LocalLoad{ServiceRate: serverCapacity, Cores: serverCapacity, Utilization: s.loads[member].Utilization}
		shedder.Tick(now, own, view, now)
	}
}

// request has a random server classify a random request.
func (s *sheddingSimulation) request(step time.Duration) {
	member, work := s.random.IntN(len(s.shedders)), 0.02+0.1*s.random.ExpFloat64()
	verdict := s.shedders[member].Classify(1+2*s.random.Float64(), work, s.random.Float64(), false)
	if verdict == VerdictBelowThreshold {
		s.rejected[member] += work / step.Seconds()
	} else {
		s.admitted[member] += work / step.Seconds()
	}
}

func (s *sheddingSimulation) publishLoads() {
	for member, shedder := range s.shedders {
		demand := shedder.Demand()
		s.loads[member] = fleet.Load{
			Capacity:    serverCapacity,
			ServiceRate: serverCapacity,
			Utilization: min(s.admitted[member]/serverCapacity, 1),
			Demand:      string(demand.Append(nil)),
		}
		if s.misreport != nil {
			s.misreport(member, &s.loads[member])
		}
	}
}

// misreporting is the index of the member that misreports its load.
const misreporting = 3

func reportTenfoldDemand(member int, load *fleet.Load) {
	if member == misreporting {
		load.Demand = tenfold(load.Demand)
	}
}

func reportNoDemand(member int, load *fleet.Load) {
	if member == misreporting {
		load.Demand = ""
	}
}

func reportThousandfoldServiceRate(member int, load *fleet.Load) {
	if member == misreporting {
		load.ServiceRate *= 1000
	}
}

// tenfold returns encoded demand that is ten times as large.
func tenfold(encoded string) string {
	steps := []byte(encoded)
	for i := 1; i < len(steps); i++ {
		if steps[i] > 0 {
			steps[i] += byte(math.Round(demandStepsPerDoubling * math.Log2(10)))
		}
	}
	return string(steps)
}

// A fleet with capacity must shed nothing. A full fleet must admit about its capacity, with about the same threshold at all
// servers. A server that misreports its load must neither starve the others nor flood them.
func TestShedderAdmitsCapacity(t *testing.T) {
	const servers, meanWork = 12, 0.12
	for _, test := range []struct {
		name                     string
		load                     float64 // ratio of the requested work to the capacity
		misreport                func(member int, load *fleet.Load)
		minAdmitted, maxAdmitted float64 // bounds on the ratio of the admitted work to the capacity
	}{
		{"at a tenth", 0.1, nil, 0.07, 0.13},
		{"at 80%", 0.8, nil, 0.7, 0.9},
		{"at 150%", 1.5, nil, 0.85, 1.15},
		{"at 300%", 3, nil, 0.85, 1.15},
		{"demand ten times too high at 80%", 0.8, reportTenfoldDemand, 0.7, 0.9},
		{"demand ten times too high at 150%", 1.5, reportTenfoldDemand, 0.75, 1.15},
		{"demand too low", 1.5, reportNoDemand, 0.85, 1.25},
		{"a service rate a thousand times too high", 1.5, reportThousandfoldServiceRate, 0.85, 1.5},
	} {
		simulation := newSheddingSimulation(servers, test.misreport)
		simulation.run(20*time.Second, test.load*servers*serverCapacity/meanWork)
		admitted := totalOf(simulation.admitted) / (servers * serverCapacity)
		inRange := admitted > test.minAdmitted && admitted < test.maxAdmitted
		require.True(t, inRange, "%s: admitted %.2f of the capacity", test.name, admitted)
		if test.load < 1 && test.misreport == nil {
			require.Zero(t, totalOf(simulation.rejected), test.name)
		}
		first := simulation.shedders[0].State()
		for _, shedder := range simulation.shedders {
			require.True(t, shedder.State().Known, test.name)
			require.InDelta(t, first.Threshold, shedder.State().Threshold, 4, test.name)
		}
	}
}

// A server that knows only its own load, or only old loads, must not shed for the fleet. The verdict must be unknown if
// there are no other members, their loads are old, or this server is partitioned from most. Invalid requests must not panic.
func TestShedderUnknownWithoutPeers(t *testing.T) {
	full := func(int) fleet.Load {
		return fleet.Load{Capacity: serverCapacity, ServiceRate: serverCapacity, Demand: string([]byte{10, 120, 120, 120})}
	}
	var shedder Shedder
	verdictOf := func(view *fleet.Snapshot, at time.Duration) Verdict {
		shedder.Tick(at, LocalLoad{ServiceRate: serverCapacity, Cores: serverCapacity, Utilization: 1}, view, at)
		return shedder.Classify(1, 5, 0, false)
	}
	view := viewOf(4, time.Second, full)
	require.Equal(t, VerdictBelowThreshold, verdictOf(view, time.Second))
	require.Equal(t, VerdictUnknown, verdictOf(view, time.Second+fleet.MaxFreshAge(4)+1), "loads are old")
	require.Equal(t, 3, shedder.State().Stale)
	require.Equal(t, VerdictBelowThreshold, verdictOf(view, time.Second))
	partitioned := *view
	partitioned.Position = fleet.Partitioned
	require.Equal(t, VerdictUnknown, verdictOf(&partitioned, time.Second))
	require.Equal(t, VerdictUnknown, verdictOf(viewOf(1, time.Second, full), time.Second))
	for _, invalid := range []struct{ value, work, rank float64 }{
		{0, 1, 0}, {1, 0, 0}, {math.NaN(), 1, 0}, {1, math.Inf(1), 2}, {1, 1, math.NaN()}, {1e300, 1e-300, 1},
	} {
		shedder.Classify(invalid.value, invalid.work, invalid.rank, true) // must not panic
	}
}

// Every verdict, including one that is out of range, must have a name.
func TestVerdictString(t *testing.T) {
	for verdict, want := range map[Verdict]string{
		VerdictUnknown:            "unknown",
		VerdictHasCapacity:        "has capacity",
		VerdictFleetFull:          "fleet full",
		VerdictBelowThreshold:     "below threshold",
		VerdictBelowThreshold + 1: "unknown",
	} {
		require.Equal(t, want, verdict.String())
	}
}

// Demand that varies around the service rate would make the fleet alternate between full and not full. A full fleet must
// stay full down to a lower ratio than the one at which it becomes full.
func TestFleetFullHasHysteresis(t *testing.T) {
	const between = (overloadEnterRatio + overloadExitRatio) / 2
	for _, test := range []struct {
		name             string
		wasFull, full    bool
		demandMultiplier float64 // ratio of demand to service rate
	}{
		{"below both", true, false, overloadExitRatio * 0.99},
		{"between, not full before", false, false, between},
		{"between, full before", true, true, between},
		{"above both", false, true, overloadEnterRatio * 1.01},
	} {
		shedder := Shedder{state: SheddingState{Known: true, Full: test.wasFull}}
		total := Aggregate{Members: 1, ServiceRate: serverCapacity}
		total.Demand[20] = test.demandMultiplier * serverCapacity
		require.Equal(t, test.full, shedder.nextState(&total).Full, test.name)
	}
}
