package fleet

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const recordedSteps = 20_000

// changeKinds numbers the kinds, whose texts are free to change.
var changeKinds = []ChangeKind{
	MemberJoined, MemberRestarted, MemberForgotten, ConditionChanged, VersionChanged, ConfigChanged, ZoneChanged,
	PositionChanged,
}

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
	r.now += time.Duration(r.random.IntN(800)) * time.Millisecond
	if r.random.IntN(500) == 0 {
		r.now += 4 * time.Minute
	}
}

func (r *recordedRun) write(outputs ...any) { fmt.Fprintln(r.digest, outputs...) }

// record draws a record of one of so many names.
func (r *recordedRun) record(names int) Record {
	name := r.random.IntN(names)
	load := Load{
		Capacity: 4, Busy: float64(r.random.IntN(6)-1) / 4, InFlight: r.random.IntN(50), CallQuota: 2, MeanCalls: 1.5,
		ServiceRate: float64(r.random.IntN(5)), Attempts: float64(r.random.IntN(40)), RetryRatio: 0.25,
		Threshold: float64(r.random.IntN(30)), StoreState: uint8(r.random.IntN(4)), StoreID: 7,
		ProbeRound: r.random.Uint64N(5),
	}
	record := Record{
		Name: fmt.Sprintf("n%02d", name), Run: 1 + r.random.Uint64N(3), Incarnation: 1 + r.random.Uint64N(3),
		Supersedes: r.random.Uint64N(4), Seq: 1 + uint64(r.now/time.Second) + r.random.Uint64N(3),
		Up: max(r.now-time.Duration(r.random.IntN(5000))*time.Millisecond, 0), Addr: fmt.Sprintf("10.0.0.%d:79", name),
		Region: "belgium", Zone: fmt.Sprintf("z%d", name%3), Version: fmt.Sprint(1 + r.random.IntN(40)/39),
		Config: 9, State: State(1 + r.random.IntN(6)*r.random.IntN(2)), Load: load,
	}
	if record.State == Starting {
		record.State = Serving
	}
	if r.random.IntN(10) == 0 {
		record.Stalled = 4 * time.Second
	}
	return record
}

// writeRecord hashes the encoded form of a record.
func (r *recordedRun) writeRecord(record Record) { r.write(AppendUpdate(nil, &record, 0)) }

// writeSnapshot hashes what a snapshot holds and what has changed since the previous one.
func (r *recordedRun) writeSnapshot(snapshot, previous *Snapshot) {
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		r.write(AppendUpdate(nil, member.Record, 0), uint8(member.Liveness), member.Self, member.RecordedAt, member.Since,
			member.Serves(r.now, MaxFreshAge(10)))
	}
	for i := range snapshot.Zones {
		r.write(snapshot.Zones[i], snapshot.Zones[i].MostlyUnreachable(), snapshot.Zones[i].Reached())
	}
	r.write(snapshot.At, snapshot.LastReceived, uint8(snapshot.Position), snapshot.Total, snapshot.Agreement(),
		snapshot.Aggregate(r.now, MaxFreshAge(10)))
	for _, change := range snapshot.Changes(previous) {
		r.write(slices.Index(changeKinds, change.Kind), change.Member, change.Age)
	}
}

func recordView(run *recordedRun) {
	view := NewView("n00", Limits{Members: 20, ForgetAfter: 20 * time.Minute})
	previous := view.Snapshot(0)
	for step := range recordedSteps {
		run.advance()
		record := run.record(30)
		var known uint64
		if current := view.Known(record.Name); current != nil {
			known = current.Seq
			run.write(record.Urgent(current))
		}
		run.write(known, view.Merge(run.now, time.Duration(run.random.IntN(9000))*time.Millisecond, record))
		if by, at := view.SupersededBy(&record); by != nil {
			run.write(by.Run, by.Seq, at)
		}
		other := run.record(30)
		view.ObserveReach(run.now, other.Name, other.Run, Reach(run.random.IntN(3)))
		view.RecordEvidence(other.Name, other.Run, Evidence(run.random.IntN(4)))
		if step%20 == 0 {
			view.Forget(run.now)
			snapshot := view.Snapshot(run.now)
			run.writeSnapshot(snapshot, previous)
			previous = snapshot
		}
	}
	run.write(view.Dropped(), view.Size())
}

func recordSelf(run *recordedRun) {
	for process := range uint64(20) {
		run.now = 0
		self := NewSelf(0, Place{Name: "n00", Run: 1 + process%3}, 9, 1+process%2)
		for range recordedSteps / 20 {
			run.advance()
			if run.random.IntN(3) == 0 {
				status := Status{State: State(2 + run.random.IntN(3)), Replaced: run.random.IntN(30) == 0}
				status.Load.StoreState = uint8(run.random.IntN(20) / 19)
				run.write(self.SetStatus(run.now, status))
			}
			record := run.record(2)
			run.write(self.Receive(run.now, &record), self.NameReleased(), self.Stalled(run.now), self.PublishDue(run.now, 40))
			if self.PublishDue(run.now, 40) {
				run.writeRecord(self.NextRecord(run.now))
			}
		}
		run.write(self.SetConfig(process))
		run.writeRecord(self.LeaveRecord(run.now))
	}
}

// recordRejoin has one address to dial at a time, as the order of the draws for several new ones is not fixed.
func recordRejoin(run *recordedRun) {
	rejoin := NewRejoin(nil, run.random)
	view := newTestView(30)
	view.Merge(0, 0, Record{Name: "me", Run: 1, Seq: 1, Addr: "me:79"})
	for i := range 12 {
		record := Record{Name: fmt.Sprint("n", i), Run: 1, Seq: 1, State: Serving, Addr: fmt.Sprint("a", i)}
		view.Merge(0, 0, record)
		view.ObserveReach(0, record.Name, 1, Reached)
	}
	lost := 0
	for range recordedSteps {
		run.now += 250 * time.Millisecond
		if run.random.IntN(300) == 0 {
			view.ObserveReach(run.now, fmt.Sprint("n", lost), 1, Reached)
			lost = run.random.IntN(12)
			view.ObserveReach(run.now, fmt.Sprint("n", lost), 1, Lost)
		}
		run.write(rejoin.NextDials(run.now, view.Snapshot(run.now)))
	}
}

// What each part decides over a long run of drawn inputs must not change when the code changes its shape: members of
// different versions share a fleet.
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
			recorded := newRecordedRun()
			run.play(recorded)
			require.Equal(t, run.digest, fmt.Sprintf("%.8x", recorded.digest.Sum(nil)))
		})
	}
}
