package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"falldeal/lab/recorded"
)

const recordedSteps = 20_000

// changeKinds numbers the kinds of changes for the digest, so that their texts may change.
var changeKinds = []ChangeKind{
	MemberJoined, MemberRestarted, MemberRemoved, ConditionChanged, VersionChanged, ConfigChanged, ZoneChanged,
	PositionChanged,
}

// recordedRun draws the inputs of a run and hashes its results.
type recordedRun struct{ *recorded.Run }

// advance moves the time on by up to 800 ms, and one time in 500 by 4 minutes more.
func (r *recordedRun) advance() {
	r.Now += time.Duration(r.Random.IntN(800)) * time.Millisecond
	if r.Random.IntN(500) == 0 {
		r.Now += 4 * time.Minute
	}
}

// record draws a record of one of nameCount names.
func (r *recordedRun) record(nameCount int) Record {
	name := r.Random.IntN(nameCount)
	load := Load{
		Capacity: 4, Utilization: float64(r.Random.IntN(6)-1) / 4, InFlight: r.Random.IntN(50), CallQuota: 2, MeanCalls: 1.5,
		ServiceRate: float64(r.Random.IntN(5)), Attempts: float64(r.Random.IntN(40)), RetryRatio: 0.25,
		Threshold: float64(r.Random.IntN(30)), StoreState: uint8(r.Random.IntN(4)), StoreID: 7,
		ProbeRound: r.Random.Uint64N(5),
	}
	record := Record{
		Name: fmt.Sprintf("n%02d", name), Run: 1 + r.Random.Uint64N(3), Incarnation: 1 + r.Random.Uint64N(3),
		Supersedes: r.Random.Uint64N(4), Seq: 1 + uint64(r.Now/time.Second) + r.Random.Uint64N(3),
		Up: max(r.Now-time.Duration(r.Random.IntN(5000))*time.Millisecond, 0), Addr: fmt.Sprintf("10.0.0.%d:79", name),
		Region: "belgium", Zone: fmt.Sprintf("z%d", name%3), Version: fmt.Sprint(1 + r.Random.IntN(40)/39),
		Config: 9, State: State(1 + r.Random.IntN(6)*r.Random.IntN(2)), Load: load,
	}
	if record.State == Starting {
		record.State = Serving
	}
	if r.Random.IntN(10) == 0 {
		record.Stalled = 4 * time.Second
	}
	return record
}

// hashRecord hashes the encoded form of a record.
func (r *recordedRun) hashRecord(record Record) { r.HashOutputs(AppendUpdate(nil, &record, 0)) }

// hashSnapshot hashes the contents of a snapshot and its changes since the previous one.
func (r *recordedRun) hashSnapshot(snapshot, previous *Snapshot) {
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		r.HashOutputs(AppendUpdate(nil, member.Record, 0), uint8(member.Liveness), member.Self, member.RecordedAt, member.Since,
			member.Serves(r.Now, MaxFreshAge(10)))
	}
	for i := range snapshot.Zones {
		r.HashOutputs(snapshot.Zones[i], snapshot.Zones[i].MostlyUnreachable(), snapshot.Zones[i].Reached())
	}
	r.HashOutputs(snapshot.At, snapshot.LastReceived, uint8(snapshot.Position), snapshot.Total, snapshot.AgreementDigest(),
		snapshot.Aggregate(r.Now, MaxFreshAge(10)))
	for _, change := range snapshot.Changes(previous) {
		r.HashOutputs(slices.Index(changeKinds, change.Kind), cmp.Or(change.Member, change.Zone), change.Age)
	}
}

func recordView(run *recordedRun) {
	view := NewView("n00", Limits{Members: 20, ForgetAfter: 20 * time.Minute})
	previous := view.Snapshot(0)
	for step := range recordedSteps {
		run.advance()
		record := run.record(30)
		var known uint64
		if current := view.CurrentRecord(record.Name); current != nil {
			known = current.Seq
			run.HashOutputs(record.Urgent(current))
		}
		run.HashOutputs(known, view.Merge(run.Now, time.Duration(run.Random.IntN(9000))*time.Millisecond, record))
		if by, at := view.SupersededBy(&record); by != nil {
			run.HashOutputs(by.Run, by.Seq, at)
		}
		other := run.record(30)
		view.ObserveReach(run.Now, other.Name, other.Run, Reach(run.Random.IntN(3)))
		view.RecordDialOutcome(other.Name, other.Run, DialOutcome(run.Random.IntN(4)))
		if step%20 == 0 {
			view.RemoveExpired(run.Now)
			snapshot := view.Snapshot(run.Now)
			run.hashSnapshot(snapshot, previous)
			previous = snapshot
		}
	}
	run.HashOutputs(view.RejectedNames(), view.Size())
}

func recordSelf(run *recordedRun) {
	for process := range uint64(20) {
		run.Now = 0
		self := NewSelf(0, ProcessInfo{Name: "n00", Run: 1 + process%3}, 9, 1+process%2)
		for range recordedSteps / 20 {
			run.advance()
			if run.Random.IntN(3) == 0 {
				status := Status{State: State(2 + run.Random.IntN(3)), Replaced: run.Random.IntN(30) == 0}
				status.Load.StoreState = uint8(run.Random.IntN(20) / 19)
				run.HashOutputs(self.SetStatus(run.Now, status))
			}
			record := run.record(2)
			run.HashOutputs(self.Receive(run.Now, &record), self.NameReleased(), self.Stalled(run.Now),
				self.ShouldPublish(run.Now, 40))
			if self.ShouldPublish(run.Now, 40) {
				run.hashRecord(self.NextRecord(run.Now))
			}
		}
		run.HashOutputs(self.SetConfig(process))
		run.hashRecord(self.LeaveRecord(run.Now))
	}
}

// recordRejoin has at most one lost member at a time, and so at most one new address to draw a delay for: the digest does not
// depend on the order in which delays for several addresses would be drawn.
func recordRejoin(run *recordedRun) {
	rejoin := NewRejoin(nil, run.Random)
	view := newTestView(30)
	view.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1, Addr: "me:79"})
	for i := range 12 {
		record := Record{Name: fmt.Sprint("n", i), Run: 1, Seq: 1, State: Serving, Addr: fmt.Sprint("a", i)}
		view.Merge(0, 0, record)
		view.ObserveReach(0, record.Name, 1, Reached)
	}
	lost := 0
	for range recordedSteps {
		run.Now += 250 * time.Millisecond
		if run.Random.IntN(300) == 0 {
			view.ObserveReach(run.Now, fmt.Sprint("n", lost), 1, Reached)
			lost = run.Random.IntN(12)
			view.ObserveReach(run.Now, fmt.Sprint("n", lost), 1, Lost)
		}
		run.HashOutputs(rejoin.NextDials(run.Now, view.Snapshot(run.Now)))
	}
}

// Members of different versions share a fleet, so that a refactoring must not change what a part decides. The test compares
// a digest of the decisions over 20,000 steps of random inputs with the recorded one.
func TestRecordedRuns(t *testing.T) {
	for _, run := range []struct {
		name   string
		play   func(*recordedRun)
		digest string
	}{
		{"view", recordView, "472bcb9ab17a48c5"},
		{"self", recordSelf, "64a59d5f22d4fee9"},
		{"rejoin", recordRejoin, "b639d1108ecc167b"},
	} {
		t.Run(run.name, func(t *testing.T) {
			recorded.RequireDigest(t, run.digest, func(r *recorded.Run) { run.play(&recordedRun{r}) })
		})
	}
}
