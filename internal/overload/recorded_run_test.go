package overload

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

const recordedSteps = 20_000

// recordedRun draws the inputs of a run from a fixed seed, and hashes its outputs.
type recordedRun struct {
	random *rand.Rand
	digest hash.Hash
	now    time.Duration
}

func newRecordedRun() *recordedRun {
	return &recordedRun{random: rand.New(rand.NewPCG(32, 5)), digest: sha256.New()}
}

// advance draws the time until the next step, which is mostly short.
func (r *recordedRun) advance() {
	r.now += time.Duration(r.random.IntN(400)) * time.Millisecond
	if r.random.IntN(200) == 0 {
		r.now += 20 * time.Second
	}
}

// eighths draws a number from 0 up to limit whose sums are exact in any order.
func (r *recordedRun) eighths(limit int) float64 { return float64(r.random.IntN(8*limit)) / 8 }

func (r *recordedRun) write(outputs ...any) { fmt.Fprintln(r.digest, outputs...) }

// load draws what a member publishes; some of it is more than a member can have.
func (r *recordedRun) load() fleet.Load {
	demand := make([]byte, r.random.IntN(30))
	for i := range demand {
		demand[i] = byte(r.random.IntN(140))
	}
	load := fleet.Load{
		Capacity: r.eighths(8), Busy: r.eighths(2) - 0.5, CallQuota: r.eighths(6), MeanCalls: r.eighths(6),
		ServiceRate: r.eighths(8), Demand: string(demand), Attempts: r.eighths(40), RetryRatio: r.eighths(1),
		StoreState: uint8(r.random.IntN(4)), StoreID: uint32(1 + r.random.IntN(8)/7), ProbeRound: r.random.Uint64N(9),
	}
	if r.random.IntN(4) == 0 {
		aggregate := Aggregate{Members: r.random.IntN(60), Oldest: time.Second, ServiceRate: r.eighths(400),
			Cores: r.eighths(300), InUse: r.eighths(300), Attempts: r.eighths(999), Retries: r.eighths(99)}
		aggregate.Demand[r.random.IntN(demandBins)] = r.eighths(800)
		load.Aggregate = string(AppendAggregate(nil, &aggregate))
	}
	return load
}

// view draws a view of members of which some are lost, old or not serving.
func (r *recordedRun) view(members int) *fleet.Snapshot {
	age := time.Duration(r.random.IntN(6000)) * time.Millisecond
	view := viewOf(members, max(r.now-age, 0), func(int) fleet.Load { return r.load() })
	for i := range view.Members {
		member := &view.Members[i]
		member.Zone = []string{"a", "b"}[i%2]
		switch r.random.IntN(20) {
		case 0:
			member.Liveness = fleet.Unreachable
		case 1:
			member.State = fleet.Draining
		}
	}
	if r.random.IntN(40) == 0 {
		view.Position = fleet.Partitioned
	}
	return view
}

func recordShedding(run *recordedRun, members int) {
	shedder := &Shedder{}
	for range recordedSteps / members {
		run.advance()
		for range run.random.IntN(40) {
			verdict := shedder.Classify(run.eighths(20), run.eighths(2), run.random.Float64(), run.random.IntN(4) == 0)
			run.write(uint8(verdict))
		}
		own := LocalLoad{
			ServiceRate: run.eighths(8), Cores: 4, Busy: run.eighths(1),
			Attempts: run.eighths(40), Retries: run.eighths(1),
		}
		state := shedder.Tick(run.now, own, run.view(members), run.now)
		run.write(state, shedder.RetryJitter(run.random.Uint64()), shedder.Demand())
	}
}

func recordCollecting(run *recordedRun) {
	const members, steps = 52, 20
	for self := range members {
		collector := NewCollector(ProcessID{fmt.Sprint("n", self), uint64(self + 1)})
		for range steps {
			run.advance()
			for range run.random.IntN(members) {
				member := run.random.IntN(members)
				aggregate := Aggregate{Members: 1, ServiceRate: run.eighths(8), Cores: run.eighths(8), Attempts: run.eighths(50)}
				aggregate.Demand[run.random.IntN(demandBins)] = run.eighths(8)
				collector.Receive(run.now, PartialAggregate{ProcessID{fmt.Sprint("n", member), uint64(member + 1)}, aggregate})
			}
			recipients := collector.Tick(run.now, Aggregate{Members: 1, Cores: 4}, run.view(members-run.random.IntN(20)/19*10))
			run.write(recipients, []byte(collector.Published()))
		}
	}
}

func recordRetries(run *recordedRun) {
	counter := NewRetryCounter()
	for range recordedSteps / 10 {
		run.advance()
		for range run.random.IntN(200) {
			fingerprint := mix(run.random.Uint64N(3000))
			known := counter.Arrived(run.now, fingerprint)
			if run.random.IntN(3) == 0 {
				counter.Rejected(run.now, fingerprint)
			}
			run.write(known)
		}
		counter.HandleReport(run.now, []uint64{mix(run.random.Uint64N(50)), mix(run.random.Uint64N(50))})
		run.write(counter.Tick(run.now, run.view(10)), counter.RetryRatio(), counter.AttemptRate())
	}
}

func recordAges(run *recordedRun) {
	estimator := NewAgeEstimator()
	for range 10 * recordedSteps {
		run.now += time.Duration(run.random.IntN(20)) * time.Millisecond
		timeout := []time.Duration{500, 2000, 4000}[run.random.IntN(3)] * time.Millisecond
		if run.random.IntN(2) == 0 {
			timeout -= time.Duration(run.random.IntN(1900)) * time.Millisecond
		}
		run.write(estimator.Age(run.now, fmt.Sprint("class", run.random.IntN(80)*run.random.IntN(2)), timeout))
	}
}

func recordProbing(run *recordedRun) {
	coordinator := NewProbeCoordinator(5, "a")
	storeID := uint32(1)
	for range recordedSteps / 10 {
		run.now += time.Duration(100+run.random.IntN(300)) * time.Millisecond
		for range run.random.IntN(8) {
			coordinator.CallEnded(run.random.IntN(30) == 0)
		}
		if run.random.IntN(500) == 0 {
			storeID = 3 - storeID
		}
		allowance := coordinator.Tick(run.now, storeID, run.view(2+run.random.IntN(30)), run.now)
		var load fleet.Load
		coordinator.AddToLoad(&load)
		run.write(uint8(allowance), allowance.ProtectedCalls(), uint8(coordinator.State()), coordinator.UnhealthyMembers(),
			load.StoreState, load.StoreID, load.ProbeRound)
	}
}

func recordLeasing(run *recordedRun) {
	const members = 6
	terms := LeaseTerms{Base: 2000, Reserved: 500, Lease: 5 * time.Second, CallTime: time.Second,
		AbandonedCallTime: time.Second}
	var managers []*QuotaManager
	for i := range members {
		self := ProcessID{fmt.Sprint("n", i), uint64(i + 1)}
		managers = append(managers, NewQuotaManager(NewQuotaLedger(0, self, terms), run.random.IntN))
	}
	var inTransit []Message
	for range recordedSteps {
		run.now += time.Duration(run.random.IntN(60)) * time.Millisecond
		i := run.random.IntN(members)
		inFlight := run.random.IntN(1 + int(managers[i].Limit(run.now)/quotaPerCall))
		if i < 2 && run.random.IntN(2) == 0 {
			managers[i].CallMissed()
		}
		inTransit = append(inTransit, managers[i].Tick(run.now, inFlight, run.view(members), run.now)...)
		for len(inTransit) > 0 && run.random.IntN(3) > 0 {
			at := run.random.IntN(len(inTransit))
			message := inTransit[at]
			if run.random.IntN(10) > 0 { // else it is duplicated
				inTransit = append(inTransit[:at], inTransit[at+1:]...)
			}
			var receiver int
			_, err := fmt.Sscanf(message.To.Name, "n%d", &receiver)
			if err != nil {
				panic(err)
			}
			if answer, ok := managers[receiver].Receive(run.now, message, inFlight); ok {
				inTransit = append(inTransit, answer)
			}
			run.write(AppendMessage(nil, message))
		}
		if run.random.IntN(2000) == 0 {
			managers[i].SetBase(Quota(1000*(1+run.random.IntN(3))), 400)
		}
		manager := managers[i]
		run.write(int64(manager.Limit(run.now)), int64(manager.Leased(run.now)), int64(manager.LeasedOut(run.now)),
			manager.MeanInFlight())
	}
}

// What each part decides over a long run of drawn inputs must not change when the code changes its shape. Members of
// different versions run side by side, so that a digest changes only where a change of behaviour is meant.
func TestRecordedRuns(t *testing.T) {
	for _, run := range []struct {
		name   string
		play   func(*recordedRun)
		digest string
	}{
		{"shedding in a small fleet", func(r *recordedRun) { recordShedding(r, 8) }, "54a948ecf4da4a4c"},
		{"shedding in a large fleet", func(r *recordedRun) { recordShedding(r, 60) }, "e4fce49da5d73383"},
		{"collecting", recordCollecting, "29c60154b57afd6b"},
		{"retries", recordRetries, "de06ae3045f4206e"},
		{"ages", recordAges, "749e3542b33267b5"},
		{"probing", recordProbing, "c5c116c092d946be"},
		{"leasing", recordLeasing, "5406e8bed0e0a04b"},
	} {
		t.Run(run.name, func(t *testing.T) {
			recorded := newRecordedRun()
			run.play(recorded)
			require.Equal(t, run.digest, fmt.Sprintf("%.8x", recorded.digest.Sum(nil)))
		})
	}
}
