package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

const (
	goldenReport  = "report.json"
	goldenChanges = "changes.txt"
	goldenNames   = "names.txt"
)

// goldenSnapshot returns a snapshot with members of every liveness and state in three zones, one of which has no name.
func goldenSnapshot() *Snapshot {
	view := NewView("n1", Limits{Members: 20, ForgetAfter: time.Hour})
	merge := func(at time.Duration, r Record, reach Reach, outcome DialOutcome) {
		view.Merge(at, 0, r)
		if reach != NeverReached {
			view.ObserveReach(at, r.Name, r.Run, reach)
		}
		view.RecordDialOutcome(r.Name, r.Run, outcome)
	}
	record := func(name string, state State) Record {
		return Record{
			Name: name, Run: 7, Incarnation: 3, Seq: 1, Region: "eu", Zone: "eu-b", Version: "1.2.3",
			State: state, Load: Load{Utilization: -1},
		}
	}
	own := goldenRecord()
	own.Stalled = 0
	merge(99*time.Second, own, Reached, OutcomeUnknown)
	merge(98*time.Second, record("starting", Starting), Reached, OutcomeUnknown)
	warming := record("warming", Warming)
	warming.Load = Load{
		Capacity: 4, Utilization: 0.5, InFlight: 3, ServiceRate: 2, Attempts: 8, RetryRatio: 0.25, Threshold: 3.5,
		CallQuota: 1.5, MeanCalls: 0.5,
	}
	merge(97*time.Second, warming, Reached, OutcomeUnknown)
	merge(97*time.Second, record("draining", Draining), Reached, OutcomeUnknown)
	merge(96*time.Second, record("newer-state", 200), Reached, OutcomeUnknown)
	merge(96*time.Second, record("gone", Stopped), Lost, OutcomeUnknown)
	merge(96*time.Second, record("heard-of", Serving), NeverReached, OutcomeUnknown)
	merge(50*time.Second, record("suspect", Serving), Reached, OutcomeUnknown)
	merge(95*time.Second, record("silent", Serving), Lost, NoResponse)
	merge(95*time.Second, record("dead", Serving), Lost, ConnectionRefused)
	merge(95*time.Second, record("wedged", Serving), Lost, ConnectionAccepted)
	stalled := record("stalled", Serving)
	stalled.Stalled = 4 * time.Second
	merge(95*time.Second, stalled, Reached, OutcomeUnknown)
	view.ObserveReach(94*time.Second, "no-word", 9, Reached)
	return view.Snapshot(100 * time.Second)
}

// Scripts and other versions of falldeal-fleet read the report, so that its keys and values must not change.
func TestGoldenReportWritten(t *testing.T) {
	report := goldenSnapshot().Report(100*time.Second + 250*time.Millisecond)
	report.Counters = map[string]int64{"calls": 3, "words": 12}
	got, err := json.MarshalIndent(report, "", "  ")
	require.NoError(t, err)
	golden.RequireFile(t, goldenReport, string(got)+"\n")
}

// A report that an earlier version wrote must still be decoded, into the same values and without an unknown field.
func TestGoldenReportRead(t *testing.T) {
	file, err := os.ReadFile("testdata/" + goldenReport)
	require.NoError(t, err)
	var got Report
	in := json.NewDecoder(bytes.NewReader(file))
	in.DisallowUnknownFields()
	require.NoError(t, in.Decode(&got))
	want := goldenSnapshot().Report(100*time.Second + 250*time.Millisecond)
	want.Counters = map[string]int64{"calls": 3, "words": 12}
	require.Equal(t, want, got)
}

// A process that knows no other member must report that it received no record, and itself as the only member.
func TestGoldenReportAlone(t *testing.T) {
	view := NewView("n1", Limits{Members: 20, ForgetAfter: time.Hour})
	view.Merge(0, 0, Record{Name: "n1", Run: 7, Seq: 1, State: Starting, Load: Load{Utilization: -1}})
	got, err := json.MarshalIndent(view.Snapshot(0).Report(time.Second), "", "  ")
	require.NoError(t, err)
	golden.RequireFile(t, "report_alone.json", string(got)+"\n")
}

// The texts of changes between two snapshots appear in the log. Each difference must be reported, in both directions.
func TestGoldenChanges(t *testing.T) {
	view := NewView("n1", Limits{Members: 20, ForgetAfter: time.Hour})
	record := func(name string, run uint64) Record {
		zone := "a"
		if name == "n4" || name == "n5" {
			zone = "b"
		}
		return Record{Name: name, Run: run, Seq: 1, Zone: zone, Version: "1", Config: 0xab, State: Serving}
	}
	merge := func(at time.Duration, r Record) {
		view.Merge(at, 0, r)
		view.ObserveReach(at, r.Name, r.Run, Reached)
	}
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		merge(time.Second, record(name, 1))
	}
	before := view.Snapshot(2 * time.Second)
	merge(2*time.Second, record("n5", 1))
	merge(2*time.Second, record("n2", 2))
	reconfigured := record("n3", 1)
	reconfigured.Seq, reconfigured.Version, reconfigured.Config, reconfigured.State = 2, "2", 0xcd, Draining
	merge(2*time.Second, reconfigured)
	for _, name := range []string{"n4", "n5"} {
		view.ObserveReach(2*time.Second, name, 1, Lost)
	}
	view.ObserveReach(2*time.Second, "n2", 2, Lost)
	after := view.Snapshot(3 * time.Second)
	var got strings.Builder
	for _, changes := range [][]Change{after.Changes(before), before.Changes(after)} {
		for _, change := range changes {
			fmt.Fprintf(&got, "member=%q what=%q from=%q to=%q age=%s\n",
				cmp.Or(change.Member, change.Zone), change.Kind, change.From, change.To, change.Age)
		}
		got.WriteString("---\n")
	}
	golden.RequireFile(t, goldenChanges, got.String())
}

// Numbers are sent to other members or published as metrics, and names appear in reports, logs and spans. Neither must
// change by accident.
func TestGoldenNames(t *testing.T) {
	var got strings.Builder
	for state := Starting; state <= Stopped; state++ {
		fmt.Fprintf(&got, "state %d: %s\n", state, state)
	}
	fmt.Fprintf(&got, "state %d: %s\nstate %d: %s\n", 0, State(0), 200, State(200))
	for state := Unconfirmed; state <= Left; state++ {
		fmt.Fprintf(&got, "standing %d: %s\n", state, state)
	}
	for p := Alone; p <= Partitioned; p++ {
		fmt.Fprintf(&got, "position %d: %s\n", p, p)
	}
	fmt.Fprintf(&got, "zone reached: %s\nzone dark: %s\n", describeReachability(false), describeReachability(true))
	fmt.Fprintf(&got, "process: %s\n", Process("n1", 0x1a2b))
	fmt.Fprintf(&got, "agreement: %016x\n", goldenSnapshot().AgreementDigest())
	golden.RequireFile(t, goldenNames, got.String())
	name, run, err := ParseProcess("n1/0000000000001a2b")
	require.NoError(t, err)
	require.Equal(t, "n1", name)
	require.Equal(t, uint64(0x1a2b), run)
}

// falldeal-fleet prints names from reports of other versions. Each name must map back to the one that the program uses, and
// an unknown name must be kept.
func TestReportNamesMapBack(t *testing.T) {
	for liveness := Unconfirmed; liveness <= Left; liveness++ {
		member := Member{Record: &Record{}, Liveness: liveness}
		require.Equal(t, liveness.String(), ConditionName(member.reportedCondition()))
	}
	for state := Starting; state <= Stopped+1; state++ {
		require.Equal(t, state.String(), ConditionName(state.reportName()))
	}
	for position := Alone; position <= Partitioned; position++ {
		require.Equal(t, position.String(), PositionName(position.ReportName()))
	}
	require.Equal(t, "newer", ConditionName("newer"))
	require.Equal(t, "newer", PositionName("newer"))
}
