package overload

import (
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

var update = flag.Bool("update", false, "rewrite the golden files from what the code produces")

const (
	goldenLeases     = "testdata/leases.hex"
	goldenReports    = "testdata/reports.hex"
	goldenAggregates = "testdata/sums.hex"
	goldenPartials   = "testdata/parts.hex"
	goldenDemands    = "testdata/offers.hex"
	goldenAgreement  = "testdata/agreement.txt"
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
		frames[name], err = hex.DecodeString(digits)
		require.NoError(t, err, name)
	}
	return frames
}

// frameCase is a value with the name of its frame. Read is what the receiver makes of it, where that differs.
type frameCase[T any] struct {
	name  string
	value T
	read  *T
}

func writeFrames[T any](cases []frameCase[T], appendTo func(b []byte, v T) []byte) string {
	var text strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&text, "%s: 0x%x\n", c.name, appendTo(nil, c.value))
	}
	return text.String()
}

// requireRead reads each frame of a golden file and compares it with the value of its case.
func requireRead[T any](t *testing.T, path string, cases []frameCase[T], parse func(b []byte) T) {
	t.Helper()
	frames := readFrames(t, path)
	require.Len(t, frames, len(cases))
	for _, c := range cases {
		require.Contains(t, frames, c.name)
		want := c.value
		if c.read != nil {
			want = *c.read
		}
		require.Equal(t, want, parse(frames[c.name]), c.name)
	}
}

var (
	goldenBorrower = ProcessID{Name: "n1", Run: 0x0102030405060708}
	goldenLender   = ProcessID{Name: "n2", Run: math.MaxUint64}
	longName       = strings.Repeat("x", fleet.MaxText)
)

func goldenLeaseCases() []frameCase[Message] {
	withoutAmount := Message{Kind: LeaseGrant, From: goldenLender, To: goldenBorrower, Number: 300}
	mostAmount := Message{Kind: LeaseRequest, From: goldenBorrower, To: goldenLender, Number: 1, Amount: math.MaxInt32}
	negative, more := withoutAmount, mostAmount
	negative.Amount, more.Amount = -1, math.MaxInt64
	return []frameCase[Message]{
		{name: "ask", value: Message{Kind: LeaseRequest, From: goldenBorrower, To: goldenLender, Number: 300, Amount: 1500}},
		{name: "lend", value: Message{Kind: LeaseGrant, From: goldenLender, To: goldenBorrower, Number: 300, Amount: 1000}},
		{name: "lend nothing", value: withoutAmount},
		{name: "lend a negative amount", value: negative, read: &withoutAmount},
		{name: "back", value: Message{Kind: LeaseReturn, From: goldenBorrower, To: goldenLender, Number: 300, Amount: 1000}},
		{name: "ask for the most", value: mostAmount},
		{name: "ask for more than the most", value: more, read: &mostAmount},
		{name: "zero runs and number", value: Message{Kind: LeaseRequest, From: ProcessID{Name: "n1"}, To: ProcessID{Name: "n2"}, Amount: 1}},
		{name: "longest", value: Message{Kind: LeaseReturn, From: ProcessID{longName, math.MaxUint64}, To: ProcessID{longName, math.MaxUint64},
			Number: math.MaxUint64, Amount: math.MaxInt32}},
	}
}

// Messages of the lease exchange must stay as they are: members of several versions lend to one another.
func TestGoldenLeasesWritten(t *testing.T) {
	requireGolden(t, goldenLeases, writeFrames(goldenLeaseCases(), AppendMessage))
}

// Messages that were written before must still be read, also with a field that a newer version has added.
func TestGoldenLeasesRead(t *testing.T) {
	parse := func(b []byte) Message {
		require.False(t, IsSheddingMessage(b))
		m, err := ParseMessage(b)
		require.NoError(t, err)
		return m
	}
	requireRead(t, goldenLeases, goldenLeaseCases(), parse)
	ask := readFrames(t, goldenLeases)["ask"]
	added := protowire.AppendString(protowire.AppendTag(ask, 99, protowire.BytesType), "added")
	require.Equal(t, goldenLeaseCases()[0].value, parse(added))
}

// goldenReportCases are the fingerprints of reports; whom a report is for is not part of the frame.
func goldenReportCases() []frameCase[[]uint64] {
	most := make([]uint64, maxReportAttempts)
	for i := range most {
		most[i] = uint64(i) << 56
	}
	return []frameCase[[]uint64]{
		{name: "no try", value: nil},
		{name: "one try", value: []uint64{0x0102030405060708}},
		{name: "two tries of one request and one of another", value: []uint64{math.MaxUint64, math.MaxUint64, 1}},
		{name: "most tries", value: most},
	}
}

// Reports of tries must stay as they are: the member that counts them may be of another version.
func TestGoldenReportsWritten(t *testing.T) {
	requireGolden(t, goldenReports, writeFrames(goldenReportCases(), func(b []byte, tries []uint64) []byte {
		return AppendReport(b, Report{To: goldenLender, Attempts: tries})
	}))
}

func TestGoldenReportsRead(t *testing.T) {
	requireRead(t, goldenReports, goldenReportCases(), func(b []byte) []uint64 {
		require.True(t, IsSheddingMessage(b))
		_, isPart := ParsePartial(b)
		require.False(t, isPart)
		tries, ok := ParseReport(b)
		require.True(t, ok)
		return tries
	})
}

// demandOf are the offers that are told with these steps, from the bin first on.
func demandOf(first int, steps ...byte) (o Demand) {
	for i, step := range steps {
		o[first+i] = demandSteps[step]
	}
	return o
}

func goldenDemandCases() []frameCase[Demand] {
	var tooLittle, tooMuch, all Demand
	tooLittle[3] = minPublishedDemand / 2
	tooMuch[3] = 1e12
	most := demandOf(3, math.MaxUint8)
	none := Demand{}
	for i := range all {
		all[i] = demandSteps[i+1]
	}
	return []frameCase[Demand]{
		{name: "none", value: Demand{}},
		{name: "first bin", value: demandOf(0, 1)},
		{name: "last bin", value: demandOf(demandBins-1, 60)},
		{name: "two bins and an empty one between", value: demandOf(10, 60, 0, 70)},
		{name: "all bins", value: all},
		{name: "too little to be told", value: tooLittle, read: &none},
		{name: "more than can be told", value: tooMuch, read: &most},
	}
}

// Offers must stay as they are: they stand in the words of members, and in the sums of zones.
func TestGoldenDemandsWritten(t *testing.T) {
	requireGolden(t, goldenDemands, writeFrames(goldenDemandCases(), func(b []byte, o Demand) []byte { return o.Append(b) }))
}

func TestGoldenDemandsRead(t *testing.T) {
	requireRead(t, goldenDemands, goldenDemandCases(), func(b []byte) (o Demand) {
		o.addEncoded(string(b), 1)
		return o
	})
}

func goldenAggregateCases() []frameCase[Aggregate] {
	one := func(change func(s *Aggregate)) Aggregate {
		s := Aggregate{Members: 1}
		change(&s)
		return s
	}
	fraction := one(func(s *Aggregate) { s.Oldest, s.ServiceRate = 1999*time.Microsecond, 0.1 })
	fractionRead := one(func(s *Aggregate) { s.Oldest, s.ServiceRate = time.Millisecond, float64(float32(0.1)) })
	stale := one(func(s *Aggregate) { s.Stale, s.Oldest = 9, -1 })
	staleRead := one(func(*Aggregate) {})
	return []frameCase[Aggregate]{
		{name: "empty", value: Aggregate{}},
		{name: "members", value: Aggregate{Members: 300}},
		{name: "oldest", value: one(func(s *Aggregate) { s.Oldest = 1500 * time.Millisecond })},
		{name: "pace", value: one(func(s *Aggregate) { s.ServiceRate = 6.75 })},
		{name: "cores", value: one(func(s *Aggregate) { s.Cores = 7.5 })},
		{name: "in use", value: one(func(s *Aggregate) { s.InUse = 4.25 })},
		{name: "tries", value: one(func(s *Aggregate) { s.Attempts = 40.5 })},
		{name: "again", value: one(func(s *Aggregate) { s.Retries = 8.125 })},
		{name: "offers", value: one(func(s *Aggregate) { s.Demand = demandOf(10, 60, 0, 70) })},
		{name: "all figures", value: Aggregate{Members: maxPartials, Oldest: time.Hour, Demand: demandOf(0, 1, 2, 3), ServiceRate: 1024,
			Cores: 2048, InUse: 512, Attempts: 4096.5, Retries: 256.25}},
		{name: "fraction of a millisecond and of a float", value: fraction, read: &fractionRead},
		{name: "stale members and a negative age are not told", value: stale, read: &staleRead},
	}
}

// Sums of zones must stay as they are: the words that hold them go through a fleet of several versions.
func TestGoldenAggregatesWritten(t *testing.T) {
	requireGolden(t, goldenAggregates, writeFrames(goldenAggregateCases(), func(b []byte, s Aggregate) []byte { return AppendAggregate(b, &s) }))
}

func TestGoldenAggregatesRead(t *testing.T) {
	requireRead(t, goldenAggregates, goldenAggregateCases(), func(b []byte) Aggregate {
		s, err := ParseAggregate(b)
		require.NoError(t, err)
		return s
	})
}

func goldenPartialCases() []frameCase[PartialAggregate] {
	return []frameCase[PartialAggregate]{
		{name: "nothing told", value: PartialAggregate{From: ProcessID{Name: "n1"}}},
		{name: "all figures", value: PartialAggregate{From: goldenBorrower, Aggregate: Aggregate{Members: 1, Oldest: 20 * time.Millisecond,
			Demand: demandOf(10, 60, 0, 70), ServiceRate: 6.75, Cores: 7.5, InUse: 4.25, Attempts: 40.5, Retries: 8.125}}},
		{name: "longest name", value: PartialAggregate{From: ProcessID{longName, math.MaxUint64}, Aggregate: Aggregate{Members: 1}}},
	}
}

// Parts must stay as they are: the collector that they go to may be of another version.
func TestGoldenPartialsWritten(t *testing.T) {
	requireGolden(t, goldenPartials, writeFrames(goldenPartialCases(), AppendPartial))
}

func TestGoldenPartialsRead(t *testing.T) {
	requireRead(t, goldenPartials, goldenPartialCases(), func(b []byte) PartialAggregate {
		require.True(t, IsSheddingMessage(b))
		_, isReport := ParseReport(b)
		require.False(t, isReport)
		p, ok := ParsePartial(b)
		require.True(t, ok)
		return p
	})
}

// goldenView is a fleet of so many members that serve, in two zones, as the first of them has it.
func goldenView(members int) *fleet.Snapshot {
	v := fleet.NewView("n000", fleet.Limits{Members: members, ForgetAfter: time.Hour})
	for i := range members {
		name, run := fmt.Sprintf("n%03d", i), uint64(1000+i)
		v.Merge(time.Second, 0, fleet.Record{Name: name, Run: run, Seq: 1, Region: "eu", Zone: fmt.Sprint("z", i%2), State: fleet.Serving,
			Load: fleet.Load{Busy: -1, StoreState: uint8(StoreFailing), StoreID: 5}})
		v.ObserveReach(time.Second, name, run, fleet.Reached)
	}
	return v.Snapshot(time.Second)
}

// What each member works out for itself must come out the same at all of them, or they do not agree on who counts the
// tries of a request, sums up a zone or tries a store, nor on what a request is and where it stands.
func TestGoldenAgreement(t *testing.T) {
	var got strings.Builder
	writeFingerprints(&got)
	writeCountingMembers(&got)
	writeCollectors(&got)
	writeProbers(&got)
	writePriorities(&got)
	for s := StoreHealthy; s <= StoreRecovering; s++ {
		fmt.Fprintf(&got, "store state %d: %s\n", s, s)
	}
	requireGolden(t, goldenAgreement, got.String())
}

func writeFingerprints(out *strings.Builder) {
	for _, c := range []struct {
		class, key, once string
		caller           int
		rank, cost       float64
	}{
		{},
		{class: "thumb"},
		{key: "images/1"},
		{once: "ab12"},
		{caller: 7},
		{rank: 0.25},
		{cost: 1.5},
		{"thumb", "images/1", "ab12", 7, 0.25, 1.5},
	} {
		fmt.Fprintf(out, "fingerprint class=%q key=%q once=%q caller=%d rank=%v cost=%v: %016x\n",
			c.class, c.key, c.once, c.caller, c.rank, c.cost, Fingerprint(c.class, c.key, c.once, c.caller, c.rank, c.cost))
	}
}

func writeCountingMembers(out *strings.Builder) {
	view := goldenView(10)
	for fingerprint := range uint64(8) {
		fmt.Fprintf(out, "tries of %d are counted by: %s\n", fingerprint, view.Members[countingMember(fingerprint, view)].Name)
	}
}

func writeCollectors(out *strings.Builder) {
	view := goldenView(60)
	for _, i := range []int{0, 1} {
		m := &view.Members[i]
		collector := NewCollector(ProcessID{m.Name, m.Run})
		fmt.Fprintf(out, "parts of zone %s go to: %v\n", m.Zone, collector.Tick(time.Second, Aggregate{Members: 1}, view))
	}
}

// writeProbers has each of some members take its turn, in trouble, with the same view of the others.
func writeProbers(out *strings.Builder) {
	const members, store, failures = 10, 5, failureThreshold
	for round := range uint64(4) {
		for i := range members {
			view := goldenView(members)
			m := &view.Members[i]
			view.Members[0].Self, m.Self = false, true
			p := NewProbeCoordinator(m.Run, m.Zone)
			p.Tick(time.Second, store, view, time.Second)
			for range failures {
				p.CallEnded(false)
			}
			p.Tick(time.Second, store, view, time.Second)
			p.round = round
			var load fleet.Load
			if leak := p.Tick(time.Second, store, view, time.Second); leak == ProbeSingle {
				p.AddToLoad(&load)
				fmt.Fprintf(out, "turn %d in zone %s: %s tells store=%d store_id=%d round=%d\n", round, m.Zone, m.Name,
					load.StoreState, load.StoreID, load.ProbeRound)
			}
		}
	}
}

func writePriorities(out *strings.Builder) {
	for _, c := range []struct{ value, work, rank float64 }{
		{1, 1, 0}, {1, 1, 0.5}, {1, 1, 2}, {8, 0.125, 0}, {1e9, 1e-3, 1}, {1e-9, 1, 0.25}, {0, 1, 0},
	} {
		place := Priority(c.value, c.work, c.rank)
		fmt.Fprintf(out, "place value=%v work=%v rank=%v: %.6f, worth at most %.6f\n", c.value, c.work, c.rank, place, WeightAt(place))
	}
}
