package agent

import (
	"fmt"
	"testing"
	"time"

	"falldeal/internal/jsonlines"
	"falldeal/internal/writequeue"

	"github.com/stretchr/testify/require"
)

func TestParseNotification(t *testing.T) {
	for _, test := range []struct {
		line string
		want Notification
	}{
		{`{"cmd":"greeting","result":"steady","elapsed_ms":12.5}`,
			Handshake{State: Steady, Age: 12500 * time.Microsecond}},
		{`{"cmd":"outcome","offset":7,"req":"ab","result":"success","elapsed_ms":40,"payload":"AP8="}`,
			RunOutcome{Offset: 7, RequestID: "ab", Result: RunSucceeded, Payload: []byte{0, 255}}},
		{`{"cmd":"request","offset":8,"req":"ab","payload":"aGk="}`,
			CallRequest{Offset: 8, RequestID: "ab", Payload: []byte("hi")}},
		{`{"cmd":"sampled","token":"4","load":[0.5,null,nan,2]}`,
			rawSample{sequence: 4, values: []float64{0.5, -1, -1, 2}}},
		{`{"cmd":"sampled","token":"x4","load":[]}`, rawSample{sequence: unknownSample}},
		{`{"cmd":"exercised","token":"x1","result":"failure"}`,
			DeepCheckOutcome{Token: "x1"}},
		{`{"cmd":"refusal","result":"launch","req":"ab"}`,
			CommandRejection{RequestID: "ab", Command: CommandLaunch}},
		{`{"cmd":"aside","offset":9,"result":"so it goes","new":{}}`,
			Remark{Offset: 9}},
	} {
		lineParser := newParser()
		notification, err := lineParser.Parse([]byte(test.line))
		require.NoError(t, err, test.line)
		require.Equal(t, test.want, notification)
	}
}

// Values must be assigned to gauges in the order of the settings. Missing values and values that are not numbers are
// unknown. Values of unknown gauges are ignored.
func TestLoadFollowsGaugeOrder(t *testing.T) {
	names := []string{"core_use", "on_cores", "heap_share", "links"}
	for _, test := range []struct {
		names  []string
		values []float64
		want   Load
	}{
		{names, nil, Load{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}},
		{names, []float64{0.5}, Load{CPUUtilization: 0.5, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}},
		{names, []float64{0.5, 3, 0.25, 9, 7},
			Load{CPUUtilization: 0.5, CPUDemand: 3, MemoryUtilization: 0.25, Connections: 9}},
		{[]string{"links", "odd", "core_use"}, []float64{9, 7, 0.5},
			Load{CPUUtilization: 0.5, CPUDemand: -1, MemoryUtilization: -1, Connections: 9}},
	} {
		require.Equal(t, test.want, newLoad(test.names, test.values))
	}
}

// The Load of a sample must follow the gauge order in effect when its answer is handled.
func TestGaugeOrderChanges(t *testing.T) {
	var received []Notification
	link := newGoldenLink()
	link.handler.OnNotification = func(notification Notification) { received = append(received, notification) }
	link.SetGauges([]string{"links"})
	linesWritten(t, link, func(queue *writequeue.Queue) {
		link.handleNotification(queue, Handshake{State: Steady})
		link.handleNotification(queue, rawSample{sequence: 1, values: []float64{3}})
		link.SetGauges([]string{"on_cores"})
		link.handleNotification(queue, rawSample{sequence: 1, values: []float64{3}})
	})
	require.Equal(t, []Notification{
		Handshake{State: Steady},
		GaugeSample{Load{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: 3}},
		GaugeSample{Load{CPUUtilization: -1, CPUDemand: 3, MemoryUtilization: -1, Connections: -1}},
	}, received)
}

func TestEnumNames(t *testing.T) {
	require.Equal(t, "booting steady State(2)", fmt.Sprint(Booting, " ", Steady, " ", Steady+1))
	require.Equal(t, "succeeded failed interrupted not started RunResult(4)",
		fmt.Sprint(RunSucceeded, " ", RunFailed, " ", RunInterrupted, " ", RunNotStarted, " ", RunNotStarted+1))
}

// Each command that the agent may reject must have a name in the log.
func TestCommandNames(t *testing.T) {
	for name, want := range map[string]string{
		"subscribe": "subscribe", "launch": "launch", "deliver": "reply", "forgo": "skip call", "sample": "sample",
		"exercise": "deep check", "odd": "unknown", "": "unknown",
	} {
		require.Equal(t, want, commandNamed([]byte(name)).String())
	}
}

func TestParseRejectsInvalidLines(t *testing.T) {
	for _, line := range []string{"", "{", "[]", "7", `{"cmd":"outcome"}`, `{"cmd":"news"}`,
		`{"cmd":"outcome","offset":1,"req":"ab","result":"odd"}`,
		`{"cmd":"outcome","offset":1,"req":"ab","result":"success","payload":"%%"}`,
		`{"cmd":"outcome","offset":1,"req":"ab","result":"success","elapsed_ms":-1}`,
		`{"cmd":"request","offset":-1,"req":"ab"}`, `{"cmd":"greeting","result":"asleep"}`,
		`{"cmd":"aside","offset":-1}`} {
		lineParser := newParser()
		_, err := lineParser.Parse([]byte(line))
		var invalid *jsonlines.LineError
		require.ErrorAs(t, err, &invalid, line)
	}
}

// A notification that is accepted must be valid: its enum values are in range, and a notification about a run has an offset
// and a request ID.
func FuzzParseNotification(f *testing.F) {
	f.Add([]byte(`{"cmd":"outcome","offset":7,"req":"ab","result":"success","elapsed_ms":40,"payload":"AP8="}`))
	f.Add([]byte(`{"cmd":"sampled","token":"4","load":[0.5,null,nan,2]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		notification, err := newParser().Parse(line)
		if err != nil {
			return
		}
		valid := true
		switch notification := notification.(type) {
		case Handshake:
			valid = notification.Age >= 0 && notification.State <= Steady
		case RunOutcome:
			valid = notification.Offset > 0 && notification.RequestID != "" && notification.Result <= RunNotStarted
		case CallRequest:
			valid = notification.Offset > 0 && notification.RequestID != ""
		case Remark:
			valid = notification.Offset >= 0
		case rawSample, DeepCheckOutcome, CommandRejection: // any content is valid
		default:
			valid = false
		}
		if !valid {
			t.Errorf("accepted an invalid notification: %+v", notification)
		}
	})
}
