package wire

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

const microsecond = time.Microsecond

// eventLine encodes an event as the simulator does.
func eventLine(node int, event admission.Event) string {
	bit := map[bool]int{true: 1}
	names := map[admission.Outcome]string{}
	for name, outcome := range outcomes {
		names[outcome] = name
	}
	switch event.Kind {
	case admission.EventRequestArrived:
		arrival := &event.Arrival
		return fmt.Sprintf("ORDER %d %d 17 %g %d %d acct/x %d 0 %d 0.625 %d %d %d", node, event.ID, arrival.MemoryKB,
			arrival.Tenant, arrival.CostHint/microsecond, bit[arrival.Retry], arrival.RetryOf,
			arrival.Deadline/microsecond, arrival.ReadDelay/microsecond, arrival.Class)
	case admission.EventRunCompleted:
		return fmt.Sprintf("DONE %d %d %s %d", node, event.ID, names[event.Completion.Outcome],
			event.Completion.Duration/microsecond)
	case admission.EventRequestCancelled:
		return fmt.Sprintf("DROPPED %d %d", node, event.ID)
	case admission.EventCallNeeded:
		return fmt.Sprintf("WANTS_CALL %d %d", node, event.ID)
	case admission.EventCallCompleted:
		return fmt.Sprintf("CALL_RESULT %d %d %d %s", node, event.ID, event.Completion.Duration/microsecond,
			names[event.Completion.Outcome])
	case admission.EventDrain:
		return fmt.Sprintf("NOTICE %d %d", node, event.Drain.StopAt/microsecond)
	case admission.EventTimer:
		return fmt.Sprintf("ELAPSED %d w core_use:%g,on_cores:%g,heap_share:%g,links:%g,unknown:7", node,
			event.Gauges.CPUUtilization, event.Gauges.CPUDemand, event.Gauges.MemoryUtilization, event.Gauges.Connections)
	default: // the simulator sends no operator events
		panic(fmt.Sprintf("no line for an event of kind %d", event.Kind))
	}
}

// An event that is encoded as the simulator encodes it must be decoded to the same event.
func TestReadEvents(t *testing.T) {
	events := []admission.Event{
		admission.RequestArrived(3233622311735748, admission.Arrival{MemoryKB: 24.5, Tenant: 1,
			CostHint: 12000 * microsecond, Retry: true, RetryOf: 1422162698119961,
			Deadline: 8652250 * microsecond, ReadDelay: 1850 * microsecond, Class: 2}),
		admission.RequestCancelled(7),
		admission.CallNeeded(7),
		admission.DrainStarted(admission.DrainSignal{StopAt: 11912250 * microsecond}),
		admission.TimerFired(admission.Gauges{
			CPUUtilization: 0.62, CPUDemand: 3, MemoryUtilization: 0.41, Connections: 120}),
	}
	for _, outcome := range outcomes {
		events = append(events,
			admission.RunCompleted(5, admission.Completion{Outcome: outcome, Duration: 9 * microsecond}),
			admission.CallCompleted(5, admission.Completion{Outcome: outcome, Duration: 9 * microsecond}))
	}
	for _, event := range events {
		line := eventLine(3, event)
		var batch Batch
		require.NoError(t, NewReader(strings.NewReader("SYNC 5\n"+line+"\nOVER_TO_YOU\n")).Read(&batch), line)
		require.Equal(t, 5*microsecond, batch.Now, line)
		require.Equal(t, []Message{{Kind: MessageEvent, Node: 3, Line: 2, Event: event}}, batch.Messages, line)
	}
}

// An invalid line must be reported with its number and field, and must not be mistaken for the end of the input.
func TestReadErrorsNameLineAndField(t *testing.T) {
	for input, want := range map[string]string{
		"HELLO\n":                                     "line 1",
		"SYNC x\nOVER_TO_YOU\n":                       "clock",
		"SYNC 1\nDROPPED 3\nOVER_TO_YOU\n":            "line 2: DROPPED: field Xid",
		"SYNC 1\nDONE 3 4 FINE 5\nOVER_TO_YOU\n":      "field Disposition",
		"SYNC 1\nDROPPED 3 4 5\nOVER_TO_YOU\n":        "more fields",
		"SYNC 1\nJUMP 3\nOVER_TO_YOU\n":               `unknown event "JUMP"`,
		"SYNC 1\nELAPSED 3 w core_use\nOVER_TO_YOU\n": "field Feedback",
		"SYNC 1\nDROPPED 3 4\n":                       "ends within a batch: OVER_TO_YOU is missing",
		"SYNC 1\nDROPPED 3":                           "truncated: no newline at the end of the input",
	} {
		var batch Batch
		err := NewReader(strings.NewReader(input)).Read(&batch)
		require.ErrorContains(t, err, want, input)
		require.NotErrorIs(t, err, io.EOF, input)
	}
	var batch Batch
	require.ErrorIs(t, NewReader(strings.NewReader("")).Read(&batch), io.EOF, "end of input between batches")
}

// Callers must be able to get the line and the field of an error with errors.As, and to detect truncated input with
// errors.Is.
func TestReadErrorsAreTyped(t *testing.T) {
	var batch Batch
	err := NewReader(strings.NewReader("SYNC 1\nDONE 3 4 FINE 5\nOVER_TO_YOU\n")).Read(&batch)
	var lineErr *LineError
	require.ErrorAs(t, err, &lineErr)
	require.Equal(t, 2, lineErr.Line)
	var fieldErr *FieldError
	require.ErrorAs(t, err, &fieldErr)
	require.Equal(t, FieldError{Field: "Disposition", Want: "an outcome", Got: "FINE"}, *fieldErr)
	for input, want := range map[string]error{"SYNC 1\n": ErrIncompleteBatch, "SYNC 1": ErrTruncated} {
		err := NewReader(strings.NewReader(input)).Read(&batch)
		require.ErrorIs(t, err, want, input)
		require.ErrorAs(t, err, &lineErr, input)
	}
}
