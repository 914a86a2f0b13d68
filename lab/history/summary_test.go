package history

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requests returns the events of requests of value 1 that arrive every 100 ms until end and complete at once. They are served,
// except those that arrive in [from, to), which are rejected.
func requests(end, from, to time.Duration) (events []Event) {
	for at := time.Duration(0); at < end; at += 100 * time.Millisecond {
		event := Event{At: at, Kind: RequestCompleted, Class: "preview", Detail: string(OutcomeServed), Count: 1, Value: 1}
		event.ValueServed = 1
		if at >= from && at < to {
			event.Detail, event.ValueServed = string(OutcomeRejected), 0
		}
		events = append(events, event)
	}
	return events
}

// Guards against wrong recovery times: the time is 0 if service is back when the fault ends, and otherwise the time for which the
// outage outlasts the fault. There is none if service does not come back.
func TestRecoveryTimeIsFromEndOfFaultToRestoredService(t *testing.T) {
	const from, to, end = 10 * time.Second, 12 * time.Second, 30 * time.Second
	after, ok := RecoveryTime(requests(end, from, to), from, to)
	require.True(t, ok)
	require.Zero(t, after)

	after, ok = RecoveryTime(requests(end, from, to+3*time.Second), from, to)
	require.True(t, ok)
	require.InDelta(t, 3, after.Seconds(), 0.5)

	_, ok = RecoveryTime(requests(end, from, end), from, to)
	require.False(t, ok)
}

// Guards against taking the end of another, overlapping fault for the end of the first one.
func TestFirstFaultIgnoresEndOfOtherFaults(t *testing.T) {
	events := []Event{
		{At: 1 * time.Second, Kind: FaultChanged, Detail: "cut zone:a", Count: 1},
		{At: 2 * time.Second, Kind: FaultChanged, Detail: "kill n1", Count: 1},
		{At: 3 * time.Second, Kind: FaultChanged, Detail: "kill n1"},
		{At: 4 * time.Second, Kind: FaultChanged, Detail: "cut zone:a"},
	}
	from, to, ok := FirstFault(events)
	require.True(t, ok)
	require.Equal(t, 1*time.Second, from)
	require.Equal(t, 4*time.Second, to)
	_, _, ok = FirstFault(events[:3])
	require.False(t, ok)
}

// Guards against wrong weights in the load on stores: means are over the time from the first event of a call to the last one of
// any call, and the load during a fault counts from the end of the settling time, for faults of the given kind only.
func TestStoreLoadIsAveragedOverTime(t *testing.T) {
	events := []Event{
		{At: 0, Kind: CallStarted},
		{At: 1 * time.Second, Kind: CallStarted},
		{At: 1 * time.Second, Kind: FaultChanged, Detail: "mute *", Count: 1},
		{At: 2 * time.Second, Kind: CallEnded},
		{At: 3 * time.Second, Kind: CallStarted},
		{At: 4 * time.Second, Kind: CallEnded},
		{At: 4 * time.Second, Kind: CallEnded},
		{At: 5 * time.Second, Kind: FaultChanged, Detail: "mute *"},
	}
	want := StoreSummary{Calls: 3, MaxInFlight: 2, MeanInFlight: 1.5, OverloadedTimeRatio: 0.5}
	require.Equal(t, want, SummarizeStores(events, 1))

	rate, maxInFlight := StoreLoadDuringFault(events, "mute", 2*time.Second)
	require.InDelta(t, 0.5, rate, 1e-9)
	require.Equal(t, 2, maxInFlight)
	rate, maxInFlight = StoreLoadDuringFault(events, "slow", 2*time.Second)
	require.Zero(t, rate)
	require.Zero(t, maxInFlight)
}

// Guards against requests that are counted under a wrong outcome or class, or missing from the line for all classes.
func TestRequestsAreSummarizedByClassAndOutcome(t *testing.T) {
	events := requests(10*time.Second, 0, time.Second)
	events = append(events, Event{Kind: RequestCompleted, Class: "order", Detail: string(OutcomeLate), Count: 3, Value: 2})
	summaries := SummarizeRequests(events)
	require.Len(t, summaries, 3)
	all := summaries[""]
	require.Equal(t, 101, all.Requests)
	require.Equal(t, 90, all.Served)
	require.Equal(t, 90, all.ServedInFull)
	require.Equal(t, 10, all.Rejected)
	require.Equal(t, 1, all.Late)
	require.Equal(t, 103, all.Attempts)
	require.Equal(t, 1, summaries["order"].Requests)
	require.Empty(t, SummarizeRequests(nil))

	var table bytes.Buffer
	require.NoError(t, PrintSummary(&table, events))
	require.Regexp(t, `all +101 +90 +1 +10 +0 +1\.02`, table.String())
}

// Guards against an index that hides uneven rejections: it is 1 if all servers reject the same ratio, and 1/n if one of n rejects
// alone.
func TestRejectionFairnessOfEvenAndUnevenRejections(t *testing.T) {
	attempt := func(server string, outcome Outcome) []Event {
		return []Event{{Kind: AttemptSent, Server: server}, {Kind: AttemptAnswered, Server: server, Detail: string(outcome)}}
	}
	alike := append(attempt("n1", OutcomeRejected), attempt("n2", OutcomeRejected)...)
	require.InDelta(t, 1, RejectionFairness(alike), 1e-9)
	alone := append(attempt("n1", OutcomeRejected), attempt("n2", OutcomeServed)...)
	require.InDelta(t, 0.5, RejectionFairness(alone), 1e-9)
	require.InDelta(t, 1, RejectionFairness(nil), 1e-9)
}

// Guards against an upper bound that is too low or too high: with cores for one run after both requests are read, it is the
// higher of the two values.
func TestOptimalValueServesHighestValueFirst(t *testing.T) {
	events := []Event{
		{Kind: RequestCompleted, Work: time.Second, Value: 1},
		{Kind: RequestCompleted, Work: time.Second, Value: 3},
	}
	require.InDelta(t, 3, OptimalValue(events, 1+2*ReadCostRatio+0.1), 1e-9)
}

// Guards against a plot without its title, its outcomes in the terms of reports, or its faults.
func TestPlotLabelsOutcomesAndFaults(t *testing.T) {
	events := requests(10*time.Second, 2*time.Second, 4*time.Second)
	events = append(events, Event{At: 2 * time.Second, Kind: FaultChanged, Detail: "cut zone:a", Count: 1})
	path := filepath.Join(t.TempDir(), "requests.svg")
	require.NoError(t, Plot(path, "two instances", events))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, label := range []string{"two instances", "served", "rejected", "cut zone:a"} {
		require.Contains(t, string(text), label)
	}
}
