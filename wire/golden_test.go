package wire

import (
	"errors"
	"strings"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// The golden file fixes the output line of every action, in both states of its flags and with rounded numbers.
func TestGoldenActions(t *testing.T) {
	const largest = admission.RequestID(1<<64 - 1)
	var cases []golden.Case
	for _, test := range []struct {
		name   string
		action admission.Action
	}{
		{"run", admission.Action{Kind: admission.ActionRun, ID: largest}},
		{"stop", admission.Action{Kind: admission.ActionStop, ID: largest}},
		{"refuse without advice", admission.Action{Kind: admission.ActionReject, ID: 7}},
		{"refuse with a time to stay away",
			admission.Action{Kind: admission.ActionReject, ID: 7, Rejection: admission.Rejection{RetryAfter: 1234567890 * time.Nanosecond}}},
		{"refuse for good", admission.Action{Kind: admission.ActionReject, ID: 7, Rejection: admission.Rejection{NoRetryElsewhere: true}}},
		{"fail", admission.Action{Kind: admission.ActionFail, ID: largest}},
		{"call", admission.Action{Kind: admission.ActionCall, ID: 7, Timeout: 1234567890 * time.Nanosecond}},
		{"skip", admission.Action{Kind: admission.ActionSkipCall, ID: largest}},
		{"keep", admission.Action{Kind: admission.ActionRemember, ID: 7, Duration: 1234567890 * time.Nanosecond}},
		{"forget", admission.Action{Kind: admission.ActionForget, ID: largest}},
		{"reuse", admission.Action{Kind: admission.ActionReuse, ID: largest}},
		{"health good", admission.Action{Kind: admission.ActionHealth, Health: admission.HealthAnswer{Healthy: true}}},
		{"health bad", admission.Action{Kind: admission.ActionHealth}},
		{"health good, for stored answers", admission.Action{Kind: admission.ActionHealth, Health: admission.HealthAnswer{Healthy: true, Cached: true}}},
		{"advertise nothing", admission.Action{Kind: admission.ActionAdvertise}},
		{"advertise a fraction", admission.Action{Kind: admission.ActionAdvertise, Value: 1.0 / 3}},
		{"advertise little", admission.Action{Kind: admission.ActionAdvertise, Value: 0.0000123456789}},
		{"advertise much", admission.Action{Kind: admission.ActionAdvertise, Value: 12345678}},
		{"idle limit", admission.Action{Kind: admission.ActionIdleTimeout, Duration: 1234567890 * time.Nanosecond}},
		{"wake at a microsecond", admission.Action{Kind: admission.ActionWake, At: 1234567 * time.Microsecond}},
		{"wake within a microsecond", admission.Action{Kind: admission.ActionWake, At: 1234567*time.Microsecond + 1}},
	} {
		cases = append(cases, golden.Case{Name: test.name, Text: trimNewline(t, AppendAction(nil, 12, test.action))})
	}
	cases = append(cases, golden.Case{Name: "log", Text: trimNewline(t, appendRemark(nil, 12, "one\r\ntwo\nthree"))})
	cases = append(cases, golden.Case{Name: "broken", Text: trimNewline(t, AppendBroken(nil, 12, errors.New("one\r\ntwo")))})
	golden.Require(t, "actions.golden", cases)
}

// trimNewline returns a line without its newline, and checks that it is a single line.
func trimNewline(t *testing.T, line []byte) string {
	t.Helper()
	text, found := strings.CutSuffix(string(line), "\n")
	require.True(t, found)
	require.NotContains(t, text, "\n")
	return text
}

// The golden file fixes the lines that the simulator writes. Each kind of message, with each outcome, must be parsed
// from its line.
func TestGoldenEvents(t *testing.T) {
	type eventCase struct {
		name string
		want Message
	}
	withEvent := func(name string, event admission.Event) eventCase {
		return eventCase{name, Message{Kind: MessageEvent, Node: 3, Line: 2, Event: event}}
	}
	timer := func(cpuUtilization, cpuDemand, memoryUtilization, connections float64) admission.Event {
		return admission.TimerFired(admission.Gauges{CPUUtilization: cpuUtilization,
			CPUDemand: cpuDemand, MemoryUtilization: memoryUtilization, Connections: connections})
	}
	cases := []eventCase{
		{"create", Message{Kind: MessageCreate, Node: 3, Line: 2, Seed: 1<<64 - 1,
			Settings: []byte(`{"FleetSize": 11, "Name": "a b"}`)}},
		{"create with a negative seed", Message{Kind: MessageCreate, Node: 3, Line: 2, Seed: 1<<64 - 5,
			Settings: []byte("{}")}},
		{"retire", Message{Kind: MessageRetire, Node: 3, Line: 2}},
		withEvent("order", admission.RequestArrived(3233622311735748, admission.Arrival{MemoryKB: 24.5,
			Tenant: 1, CostHint: 12 * time.Millisecond, Retry: true, RetryOf: 1422162698119961,
			Deadline: 8652250 * microsecond, ReadDelay: 1850 * microsecond, Class: 2})),
		withEvent("order that mutates",
			admission.RequestArrived(8, admission.Arrival{MemoryKB: 2, Class: 1})),
		withEvent("order that tells little", admission.RequestArrived(1<<64-1, admission.Arrival{})),
		withEvent("dropped", admission.RequestCancelled(7)),
		withEvent("wants call", admission.CallNeeded(7)),
		withEvent("notice", admission.DrainStarted(admission.DrainSignal{StopAt: 11912250 * microsecond})),
		withEvent("elapsed", timer(0.62, 3, 0.41, 120)),
		withEvent("elapsed with some gauges", timer(-1, 0, -1, 5)),
		withEvent("elapsed without gauges", timer(-1, -1, -1, -1)),
	}
	for _, end := range []struct {
		name    string
		outcome admission.Outcome
	}{
		{"ok", admission.OutcomeOK},
		{"failed", admission.OutcomeFailed},
		{"rejected", admission.OutcomeRejected},
		{"timed out", admission.OutcomeTimedOut},
		{"unreachable", admission.OutcomeUnreachable},
		{"aborted", admission.OutcomeAborted},
		{"cancelled", admission.OutcomeCancelled},
		{"moot", admission.OutcomeNotStarted},
	} {
		cases = append(cases,
			withEvent("done, "+end.name, admission.RunCompleted(5, admission.Completion{Outcome: end.outcome,
				Duration: 9 * microsecond})),
			withEvent("call result, "+end.name, admission.CallCompleted(5, admission.Completion{Outcome: end.outcome,
				Duration: 9 * microsecond})))
	}
	lines := golden.Read(t, "events.golden", len(cases))
	for _, test := range cases {
		require.Contains(t, lines, test.name)
		var batch Batch
		input := "SYNC 1234567\n" + lines[test.name] + "\nOVER_TO_YOU\n"
		require.NoError(t, NewReader(strings.NewReader(input)).Read(&batch), test.name)
		require.Equal(t, 1234567*microsecond, batch.Now, test.name)
		require.Equal(t, []Message{test.want}, batch.Messages, test.name)
	}
}

// The golden file fixes the error for each kind of invalid input, with the line and the field at fault.
func TestGoldenErrors(t *testing.T) {
	var cases []golden.Case
	for _, test := range []struct{ name, input string }{
		{"no batch", "HELLO\n"},
		{"time that is no number", "SYNC x\n"},
		{"time with more", "SYNC 1 2\n"},
		{"end within a batch", "SYNC 1\nDROPPED 3 4\n"},
		{"end within a line", "SYNC 1\nDROPPED 3"},
		{"unknown event", "SYNC 1\nJUMP 3\n"},
		{"more fields than expected", "SYNC 1\nDROPPED 3 4 5 6\n"},
		{"node", "SYNC 1\nRETIRE x\n"},
		{"seed", "SYNC 1\nCREATE 3 x {}\n"},
		{"order, id", "SYNC 1\nORDER 3 x 1 2 1 4 k 1 0 6 0.5 8 9 2\n"},
		{"order, caller", "SYNC 1\nORDER 3 5 x 2 1 4 k 1 0 6 0.5 8 9 2\n"},
		{"order, memory", "SYNC 1\nORDER 3 5 1 x 1 4 k 1 0 6 0.5 8 9 2\n"},
		{"order, tenant", "SYNC 1\nORDER 3 5 1 2 x 4 k 1 0 6 0.5 8 9 2\n"},
		{"order, hint", "SYNC 1\nORDER 3 5 1 2 1 x k 1 0 6 0.5 8 9 2\n"},
		{"order, repeat", "SYNC 1\nORDER 3 5 1 2 1 4 k x 0 6 0.5 8 9 2\n"},
		{"order, mutates", "SYNC 1\nORDER 3 5 1 2 1 4 k 1 x 6 0.5 8 9 2\n"},
		{"order, earlier", "SYNC 1\nORDER 3 5 1 2 1 4 k 1 0 x 0.5 8 9 2\n"},
		{"order, rank", "SYNC 1\nORDER 3 5 1 2 1 4 k 1 0 6 nan 8 9 2\n"},
		{"order, due", "SYNC 1\nORDER 3 5 1 2 1 4 k 1 0 6 0.5 x 9 2\n"},
		{"order, waited", "SYNC 1\nORDER 3 5 1 2 1 4 k 1 0 6 0.5 8 x 2\n"},
		{"order, class", "SYNC 1\nORDER 3 5 1 2 1 4 k 1 0 6 0.5 8 9 x\n"},
		{"order, cut", "SYNC 1\nORDER 3 5 1 2 1 4 k 1 0 6 0.5 8 9\n"},
		{"done, outcome", "SYNC 1\nDONE 3 4 FINE 5\n"},
		{"done, time", "SYNC 1\nDONE 3 4 OK x\n"},
		{"call result, time", "SYNC 1\nCALL_RESULT 3 4 x OK\n"},
		{"notice", "SYNC 1\nNOTICE 3 x\n"},
		{"elapsed, gauge without a value", "SYNC 1\nELAPSED 3 w core_use\n"},
		{"elapsed, cut", "SYNC 1\nELAPSED 3 w\n"},
	} {
		var batch Batch
		err := NewReader(strings.NewReader(test.input)).Read(&batch)
		require.Error(t, err, test.name)
		cases = append(cases, golden.Case{Name: test.name, Text: err.Error()})
	}
	golden.Require(t, "errors.golden", cases)
}
