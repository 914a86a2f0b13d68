package fleet

import (
	"bytes"
	hexdigits "encoding/hex" // the package has a function hex
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

var update = flag.Bool("update", false, "rewrite the golden files from what the code produces")

const (
	goldenUpdates = "testdata/words.hex"
	goldenReport  = "testdata/report.json"
	goldenChanges = "testdata/changes.txt"
	goldenNames   = "testdata/names.txt"
)

// requireGolden compares what the code produces now with a golden file.
func requireGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// readFrames reads a golden file of frames: a line for each, with its name and its bytes in hex digits.
func readFrames(t *testing.T, path string) map[string][]byte {
	t.Helper()
	file, err := os.ReadFile(path)
	require.NoError(t, err)
	frames := map[string][]byte{}
	for line := range strings.Lines(string(file)) {
		name, digits, found := strings.Cut(strings.TrimSpace(line), ": 0x")
		require.True(t, found, line)
		require.NotContains(t, frames, name)
		frames[name], err = hexdigits.DecodeString(digits)
		require.NoError(t, err, name)
	}
	return frames
}

// updateCase is a record as it is sent. Read is what the receiver makes of it, where that differs.
type updateCase struct {
	name   string
	record Record
	age    time.Duration
	read   func(r *Record)
}

// minimalRecord is the least that is a record, changed as the case wants it.
func minimalRecord(change func(r *Record)) Record {
	r := Record{Name: "n1", Run: 7, Load: Load{Busy: -1}}
	change(&r)
	return r
}

func goldenLoad() Load {
	return Load{Capacity: 7.5, Busy: 0.625, InFlight: 17, CallQuota: 3.25, ShedRatio: 0.125, MeanCalls: 2.5,
		ServiceRate: 6.75, Demand: "\x0a\x3c\x00\x46", Attempts: 40.5, RetryRatio: 0.2, Threshold: 23.5,
		StoreState: 2, StoreID: 0x89abcdef, ProbeRound: 77, Aggregate: "\x01\x02\xff"}
}

func goldenRecord() Record {
	return Record{Name: "n1", Run: 0x0102030405060708, Incarnation: 1796147027278, Supersedes: 0x1112131415161718, Seq: 300,
		Up: 90*time.Second + 5*time.Millisecond, Stalled: 4 * time.Second, Addr: "10.0.0.1:7946", Region: "eu", Zone: "eu-a",
		Version: "1.2.3", Config: 0x2122232425262728, State: Serving, Load: goldenLoad()}
}

// fieldAdded is a field of a version that is newer than this one.
var fieldAdded = string(protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "added"))

// goldenUpdateCases has every field by itself, all of them together, and the bounds of what is sent.
func goldenUpdateCases() []updateCase {
	field := func(name string, change func(r *Record)) updateCase {
		return updateCase{name: name, record: minimalRecord(change)}
	}
	cases := []updateCase{
		{name: "all fields", record: goldenRecord(), age: 1500 * time.Millisecond},
		field("least", func(*Record) {}),
		field("incarnation", func(r *Record) { r.Incarnation = 1796147027278 }),
		field("over", func(r *Record) { r.Supersedes = 0x1112131415161718 }),
		field("seq", func(r *Record) { r.Seq = 300 }),
		field("up", func(r *Record) { r.Up = 90*time.Second + 5*time.Millisecond }),
		field("stalled", func(r *Record) { r.Stalled = 4 * time.Second }),
		field("addr", func(r *Record) { r.Addr = "10.0.0.1:7946" }),
		field("region", func(r *Record) { r.Region = "eu" }),
		field("zone", func(r *Record) { r.Zone = "eu-a" }),
		field("version", func(r *Record) { r.Version = "1.2.3" }),
		field("config", func(r *Record) { r.Config = 0x2122232425262728 }),
		field("state starting", func(r *Record) { r.State = Starting }),
		field("state warming", func(r *Record) { r.State = Warming }),
		field("state serving", func(r *Record) { r.State = Serving }),
		field("state draining", func(r *Record) { r.State = Draining }),
		field("state gone", func(r *Record) { r.State = Stopped }),
		field("state of a newer version", func(r *Record) { r.State = 200 }),
		field("load capacity", func(r *Record) { r.Load.Capacity = 7.5 }),
		field("load busy none", func(r *Record) { r.Load.Busy = 0 }),
		field("load busy", func(r *Record) { r.Load.Busy = 0.625 }),
		field("load in hand", func(r *Record) { r.Load.InFlight = 17 }),
		field("load share", func(r *Record) { r.Load.CallQuota = 3.25 }),
		field("load shed", func(r *Record) { r.Load.ShedRatio = 0.125 }),
		field("load calls", func(r *Record) { r.Load.MeanCalls = 2.5 }),
		field("load pace", func(r *Record) { r.Load.ServiceRate = 6.75 }),
		field("load offer", func(r *Record) { r.Load.Demand = "\x0a\x3c\x00\x46" }),
		field("load tries", func(r *Record) { r.Load.Attempts = 40.5 }),
		field("load again", func(r *Record) { r.Load.RetryRatio = 0.2 }),
		field("load cut", func(r *Record) { r.Load.Threshold = 23.5 }),
		field("load store", func(r *Record) { r.Load.StoreState = 2 }),
		field("load store id", func(r *Record) { r.Load.StoreID = 0x89abcdef }),
		field("load round", func(r *Record) { r.Load.ProbeRound = 77 }),
		field("load sum", func(r *Record) { r.Load.Aggregate = "\x01\x02\xff" }),
		field("field of a newer version", func(r *Record) { r.unknown = fieldAdded }),
	}
	return append(cases, goldenBoundCases()...)
}

// goldenBoundCases are the records that are not read as they were written, and the longest texts.
func goldenBoundCases() []updateCase {
	return []updateCase{
		{name: "greatest age", record: minimalRecord(func(*Record) {}), age: math.MaxInt64},
		{name: "negative times and counts", record: minimalRecord(func(r *Record) {
			r.Up, r.Stalled, r.Load.InFlight, r.Load.Capacity = -1, -1, -1, -1
		}), read: func(r *Record) { *r = minimalRecord(func(*Record) {}) }},
		{name: "less than a thousandth", record: minimalRecord(func(r *Record) {
			r.Up, r.Load.Capacity, r.Load.ServiceRate = 1999*time.Microsecond, 0.0004, 0.0006
		}), read: func(r *Record) { r.Up, r.Load.Capacity, r.Load.ServiceRate = time.Millisecond, 0, 0.001 }},
		{name: "more than 32 bits of thousandths", record: minimalRecord(func(r *Record) {
			r.Load.Capacity, r.Load.Threshold = 1e12, math.Inf(1)
		}), read: func(r *Record) { r.Load.Capacity, r.Load.Threshold = 4294967.295, 4294967.295 }},
		{name: "parts above one", record: minimalRecord(func(r *Record) {
			r.Load.ShedRatio, r.Load.RetryRatio = 1.5, 2
		}), read: func(r *Record) { r.Load.ShedRatio, r.Load.RetryRatio = 1, 1 }},
		{name: "longest texts", record: minimalRecord(func(r *Record) {
			long := strings.Repeat("x", MaxText)
			r.Name, r.Addr, r.Region, r.Zone, r.Version = long, long, long, long, long
			r.Load.Demand, r.Load.Aggregate = strings.Repeat("\xff", MaxDemand), strings.Repeat("\xff", MaxAggregate)
		})},
	}
}

// The words of members must stay as they are, field by field: members of several versions live in one fleet.
func TestGoldenUpdatesWritten(t *testing.T) {
	var got strings.Builder
	for _, testCase := range goldenUpdateCases() {
		fmt.Fprintf(&got, "%s: 0x%x\n", testCase.name, AppendUpdate(nil, &testCase.record, testCase.age))
	}
	requireGolden(t, goldenUpdates, got.String())
}

// Words that were written before must still be read, each as the record and the age that it was.
func TestGoldenUpdatesRead(t *testing.T) {
	frames, cases := readFrames(t, goldenUpdates), goldenUpdateCases()
	require.Len(t, frames, len(cases))
	for _, testCase := range cases {
		require.Contains(t, frames, testCase.name)
		got, age, err := ParseUpdate(frames[testCase.name])
		require.NoError(t, err, testCase.name)
		want := testCase.record
		if testCase.read != nil {
			testCase.read(&want)
		}
		require.Equal(t, want, got, testCase.name)
		require.Equal(t, min(testCase.age, maxUpdateAge), age, testCase.name)
	}
}

// The first byte tells the kinds of messages apart, of which the other one is read by another package.
func TestGoldenKinds(t *testing.T) {
	require.Equal(t, 1, kindUpdate)
	require.Equal(t, 2, KindDirect)
}

// goldenSnapshot has members of every standing and state, two zones and one without a name.
func goldenSnapshot() *Snapshot {
	view := NewView("n1", Limits{Members: 20, ForgetAfter: time.Hour})
	join := func(at time.Duration, r Record, reach Reach, evidence Evidence) {
		view.Merge(at, 0, r)
		if reach != NeverMet {
			view.ObserveReach(at, r.Name, r.Run, reach)
		}
		view.RecordEvidence(r.Name, r.Run, evidence)
	}
	record := func(name string, state State) Record {
		return Record{Name: name, Run: 7, Incarnation: 3, Seq: 1, Region: "eu", Zone: "eu-b", Version: "1.2.3", State: state, Load: Load{Busy: -1}}
	}
	own := goldenRecord()
	own.Stalled = 0
	join(99*time.Second, own, Reached, NoEvidence)
	join(98*time.Second, record("starting", Starting), Reached, NoEvidence)
	warming := record("warming", Warming)
	warming.Load = Load{Capacity: 4, Busy: 0.5, InFlight: 3, ServiceRate: 2, Attempts: 8, RetryRatio: 0.25, Threshold: 3.5, CallQuota: 1.5, MeanCalls: 0.5}
	join(97*time.Second, warming, Reached, NoEvidence)
	join(97*time.Second, record("draining", Draining), Reached, NoEvidence)
	join(96*time.Second, record("newer-state", 200), Reached, NoEvidence)
	join(96*time.Second, record("gone", Stopped), Lost, NoEvidence)
	join(96*time.Second, record("heard-of", Serving), NeverMet, NoEvidence)
	join(50*time.Second, record("suspect", Serving), Reached, NoEvidence)
	join(95*time.Second, record("silent", Serving), Lost, Unanswered)
	join(95*time.Second, record("dead", Serving), Lost, ConnectionRefused)
	join(95*time.Second, record("wedged", Serving), Lost, ConnectionAccepted)
	stalled := record("stalled", Serving)
	stalled.Stalled = 4 * time.Second
	join(95*time.Second, stalled, Reached, NoEvidence)
	view.ObserveReach(94*time.Second, "no-word", 9, Reached)
	return view.Snapshot(100 * time.Second)
}

// The view that the console gives is read by scripts and by falldeal-fleet of other versions.
func TestGoldenReportWritten(t *testing.T) {
	report := goldenSnapshot().Report(100*time.Second + 250*time.Millisecond)
	report.Counters = map[string]int64{"calls": 3, "words": 12}
	got, err := json.MarshalIndent(report, "", "  ")
	require.NoError(t, err)
	requireGolden(t, goldenReport, string(got)+"\n")
}

// A view that was written before must be read without a field that is left over, and as what it was.
func TestGoldenReportRead(t *testing.T) {
	file, err := os.ReadFile(goldenReport)
	require.NoError(t, err)
	var got Report
	in := json.NewDecoder(bytes.NewReader(file))
	in.DisallowUnknownFields()
	require.NoError(t, in.Decode(&got))
	want := goldenSnapshot().Report(100*time.Second + 250*time.Millisecond)
	want.Counters = map[string]int64{"calls": 3, "words": 12}
	require.Equal(t, want, got)
}

// A process that knows nobody else reports no word of others, and a list of itself alone.
func TestGoldenReportAlone(t *testing.T) {
	view := NewView("n1", Limits{Members: 20, ForgetAfter: time.Hour})
	view.Merge(0, 0, Record{Name: "n1", Run: 7, Seq: 1, State: Starting, Load: Load{Busy: -1}})
	got, err := json.MarshalIndent(view.Snapshot(0).Report(time.Second), "", "  ")
	require.NoError(t, err)
	requireGolden(t, "testdata/report_alone.json", string(got)+"\n")
}

// The changes between two snapshots go to the log in these words.
func TestGoldenChanges(t *testing.T) {
	view := NewView("n1", Limits{Members: 20, ForgetAfter: time.Hour})
	record := func(name string, run uint64) Record {
		zone := "a"
		if name == "n4" || name == "n5" {
			zone = "b"
		}
		return Record{Name: name, Run: run, Seq: 1, Zone: zone, Version: "1", Config: 0xab, State: Serving}
	}
	join := func(at time.Duration, r Record) {
		view.Merge(at, 0, r)
		view.ObserveReach(at, r.Name, r.Run, Reached)
	}
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		join(time.Second, record(name, 1))
	}
	before := view.Snapshot(2 * time.Second)
	join(2*time.Second, record("n5", 1))
	join(2*time.Second, record("n2", 2))
	reconfigured := record("n3", 1)
	reconfigured.Seq, reconfigured.Version, reconfigured.Config, reconfigured.State = 2, "2", 0xcd, Draining
	join(2*time.Second, reconfigured)
	for _, name := range []string{"n4", "n5"} {
		view.ObserveReach(2*time.Second, name, 1, Lost)
	}
	view.ObserveReach(2*time.Second, "n2", 2, Lost)
	after := view.Snapshot(3 * time.Second)
	var got strings.Builder
	for _, changes := range [][]Change{after.Changes(before), before.Changes(after)} {
		for _, change := range changes {
			fmt.Fprintf(&got, "member=%q what=%q from=%q to=%q age=%s\n", change.Member, change.Kind, change.From, change.To, change.Age)
		}
		got.WriteString("---\n")
	}
	requireGolden(t, goldenChanges, got.String())
}

// The numbers travel or are published as figures, the names stand in reports, logs and spans.
func TestGoldenNames(t *testing.T) {
	var got strings.Builder
	for state := Starting; state <= Stopped; state++ {
		fmt.Fprintf(&got, "state %d: %s\n", state, state)
	}
	fmt.Fprintf(&got, "state %d: %s\nstate %d: %s\n", 0, State(0), 200, State(200))
	for state := Unmet; state <= Left; state++ {
		fmt.Fprintf(&got, "standing %d: %s\n", state, state)
	}
	for p := Alone; p <= Partitioned; p++ {
		fmt.Fprintf(&got, "position %d: %s\n", p, p)
	}
	fmt.Fprintf(&got, "zone reached: %s\nzone dark: %s\n", describeReachability(false), describeReachability(true))
	fmt.Fprintf(&got, "process: %s\n", Process("n1", 0x1a2b))
	fmt.Fprintf(&got, "agreement: %016x\n", goldenSnapshot().Agreement())
	requireGolden(t, goldenNames, got.String())
	name, run, err := ParseProcess("n1/0000000000001a2b")
	require.NoError(t, err)
	require.Equal(t, "n1", name)
	require.Equal(t, uint64(0x1a2b), run)
}
