package overload

import (
	"fmt"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/recorded"
)

// recordedSteps scales the length of the runs.
const recordedSteps = 20_000

// recordedRun draws the random inputs of a run.
type recordedRun struct{ *recorded.Run }

// advance moves the clock to the next step: mostly by less than 400 ms, sometimes by 20 s more.
func (r *recordedRun) advance() {
	r.Now += time.Duration(r.Random.IntN(400)) * time.Millisecond
	if r.Random.IntN(200) == 0 {
		r.Now += 20 * time.Second
	}
}

// eighths draws a multiple of 1/8 from 0 to below limit. Sums of such numbers are exact in any order.
func (r *recordedRun) eighths(limit int) float64 { return float64(r.Random.IntN(8*limit)) / 8 }

// load draws the published load of a member. Some figures exceed what a member can have.
func (r *recordedRun) load() fleet.Load {
	demand := make([]byte, r.Random.IntN(30))
	for i := range demand {
		demand[i] = byte(r.Random.IntN(140))
	}
	load := fleet.Load{
		Capacity: r.eighths(8), Utilization: r.eighths(2) - 0.5, CallQuota: r.eighths(6), MeanCalls: r.eighths(6),
		ServiceRate: r.eighths(8), Demand: string(demand), Attempts: r.eighths(40), RetryRatio: r.eighths(1),
		StoreState: uint8(r.Random.IntN(4)), StoreID: uint32(1 + r.Random.IntN(8)/7), ProbeRound: r.Random.Uint64N(9),
	}
	if r.Random.IntN(4) == 0 {
		aggregate := Aggregate{Members: r.Random.IntN(60), OldestAge: time.Second, ServiceRate: r.eighths(400),
			Cores: r.eighths(300), CoresInUse: r.eighths(300), Attempts: r.eighths(999), Retries: r.eighths(99)}
		aggregate.Demand[r.Random.IntN(demandBins)] = r.eighths(800)
		load.Aggregate = string(AppendAggregate(nil, &aggregate))
	}
	return load
}

// view draws a view in which some members are lost or draining, and loads may be old.
func (r *recordedRun) view(members int) *fleet.Snapshot {
	age := time.Duration(r.Random.IntN(6000)) * time.Millisecond
	view := viewOf(members, max(r.Now-age, 0), func(int) fleet.Load { return r.load() })
	for i := range view.Members {
		member := &view.Members[i]
		member.Zone = []string{"a", "b"}[i%2]
		switch r.Random.IntN(20) {
		case 0:
			member.Liveness = fleet.Unreachable
		case 1:
			member.State = fleet.Draining
		}
	}
	if r.Random.IntN(40) == 0 {
		view.Position = fleet.Partitioned
	}
	return view
}

// recordShedding classifies random requests and ticks the shedder in a fleet of random loads.
func recordShedding(run *recordedRun, members int) {
	shedder := &Shedder{}
	for range recordedSteps / members {
		run.advance()
		for range run.Random.IntN(40) {
			verdict := shedder.Classify(run.eighths(20), run.eighths(2), run.Random.Float64(), run.Random.IntN(4) == 0)
			run.HashOutputs(uint8(verdict))
		}
		own := LocalLoad{
			ServiceRate: run.eighths(8), Cores: 4, Utilization: run.eighths(1),
			AttemptRate: run.eighths(40), RetryRatio: run.eighths(1),
		}
		state := shedder.Tick(run.Now, own, run.view(members), run.Now)
		run.HashOutputs(state, shedder.RetryJitter(run.Random.Uint64()), shedder.Demand())
	}
}

// recordCollecting has each member of a large fleet receive random partial aggregates and publish its zone.
func recordCollecting(run *recordedRun) {
	const members, steps = 52, 20
	for self := range members {
		collector := NewCollector(ProcessID{fmt.Sprint("n", self), uint64(self + 1)})
		for range steps {
			run.advance()
			for range run.Random.IntN(members) {
				member := run.Random.IntN(members)
				aggregate := Aggregate{Members: 1, ServiceRate: run.eighths(8), Cores: run.eighths(8), Attempts: run.eighths(50)}
				aggregate.Demand[run.Random.IntN(demandBins)] = run.eighths(8)
				collector.Receive(run.Now, PartialAggregate{ProcessID{fmt.Sprint("n", member), uint64(member + 1)}, aggregate})
			}
			// One view in 20 has too few members for collectors.
			recipients := collector.Tick(run.Now, Aggregate{Members: 1, Cores: 4}, run.view(members-run.Random.IntN(20)/19*10))
			run.HashOutputs(recipients, []byte(collector.Published()))
		}
	}
}

// recordRetries counts random attempts, rejections and reports of a few thousand requests.
func recordRetries(run *recordedRun) {
	counter := NewRetryCounter()
	for range recordedSteps / 10 {
		run.advance()
		for range run.Random.IntN(200) {
			fingerprint := mix(run.Random.Uint64N(3000))
			known := counter.RecordAttempt(run.Now, fingerprint)
			if run.Random.IntN(3) == 0 {
				counter.RecordRejection(run.Now, fingerprint)
			}
			run.HashOutputs(known)
		}
		counter.HandleReport(run.Now, []uint64{mix(run.Random.Uint64N(50)), mix(run.Random.Uint64N(50))})
		run.HashOutputs(counter.Tick(run.Now, run.view(10)), counter.RetryRatio(), counter.AttemptRate())
	}
}

// recordAges estimates the age of attempts, half of which have one of three common timeouts.
func recordAges(run *recordedRun) {
	estimator := NewAgeEstimator()
	for range 10 * recordedSteps {
		run.Now += time.Duration(run.Random.IntN(20)) * time.Millisecond
		timeout := []time.Duration{500, 2000, 4000}[run.Random.IntN(3)] * time.Millisecond
		if run.Random.IntN(2) == 0 {
			timeout -= time.Duration(run.Random.IntN(1900)) * time.Millisecond
		}
		run.HashOutputs(estimator.RecordAttempt(run.Now, fmt.Sprint("class", run.Random.IntN(80)*run.Random.IntN(2)), timeout))
	}
}

// recordProbing coordinates the probes of a store whose calls mostly fail, and which is sometimes replaced by another.
func recordProbing(run *recordedRun) {
	coordinator := NewProbeCoordinator(5, "a")
	storeID := uint32(1)
	for range recordedSteps / 10 {
		run.Now += time.Duration(100+run.Random.IntN(300)) * time.Millisecond
		for range run.Random.IntN(8) {
			coordinator.RecordCall(run.Random.IntN(30) == 0)
		}
		if run.Random.IntN(500) == 0 {
			storeID = 3 - storeID
		}
		allowance := coordinator.Tick(run.Now, storeID, run.view(2+run.Random.IntN(30)), run.Now)
		var load fleet.Load
		coordinator.AddToLoad(&load)
		run.HashOutputs(uint8(allowance), allowance.ProtectedCalls(), uint8(coordinator.State()), coordinator.UnhealthyMembers(),
			load.StoreState, load.StoreID, load.ProbeRound)
	}
}

// leasingRun is a run of members that lease quota from each other.
type leasingRun struct {
	*recordedRun
	managers  []*QuotaManager
	inTransit []LeaseMessage // messages that were sent and have not arrived, or arrive again
}

// recordLeasing has six members lease quota from each other, with reordered and duplicated messages.
func recordLeasing(run *recordedRun) {
	const members = 6
	terms := LeaseTerms{Base: 2000, Reserved: 500, Lease: 5 * time.Second, CallTime: time.Second,
		AbandonedCallTime: time.Second}
	leasing := &leasingRun{recordedRun: run}
	for i := range members {
		self := ProcessID{fmt.Sprint("n", i), uint64(i + 1)}
		leasing.managers = append(leasing.managers, NewQuotaManager(NewQuotaLedger(0, self, terms), run.Random.IntN))
	}
	for range recordedSteps {
		run.Now += time.Duration(run.Random.IntN(60)) * time.Millisecond
		leasing.step()
	}
}

// step ticks a random member and delivers some messages.
func (l *leasingRun) step() {
	i := l.Random.IntN(len(l.managers))
	manager := l.managers[i]
	inFlight := l.Random.IntN(1 + int(manager.Limit(l.Now)/quotaPerCall))
	if i < 2 && l.Random.IntN(2) == 0 {
		manager.RecordMissedCall()
	}
	l.inTransit = append(l.inTransit, manager.Tick(l.Now, inFlight, l.view(len(l.managers)), l.Now)...)
	for len(l.inTransit) > 0 && l.Random.IntN(3) > 0 {
		l.transmit(inFlight)
	}
	if l.Random.IntN(2000) == 0 {
		manager.SetBase(Quota(1000*(1+l.Random.IntN(3))), 400)
	}
	l.HashOutputs(int64(manager.Limit(l.Now)), int64(manager.Leased(l.Now)), int64(manager.LeasedOut(l.Now)),
		manager.MeanInFlight())
}

// transmit delivers a random message. One in ten stays in transit and arrives again.
func (l *leasingRun) transmit(inFlight int) {
	at := l.Random.IntN(len(l.inTransit))
	message := l.inTransit[at]
	if l.Random.IntN(10) > 0 {
		l.inTransit = append(l.inTransit[:at], l.inTransit[at+1:]...)
	}
	receiver := l.managers[message.To.Run-1]
	if answer, ok := receiver.Receive(l.Now, message, inFlight); ok {
		l.inTransit = append(l.inTransit, answer)
	}
	l.HashOutputs(AppendLeaseMessage(nil, message))
}

// A refactoring that changes a decision would make members of different versions disagree. The decisions over long runs of
// random inputs must have the recorded digests. A digest may change only with an intended change of behaviour.
func TestRecordedRunDigests(t *testing.T) {
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
			recorded.RequireDigest(t, run.digest, func(r *recorded.Run) { run.play(&recordedRun{r}) })
		})
	}
}
