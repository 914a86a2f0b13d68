package agent

import (
	"slices"
	"testing"
	"time"

	"falldeal/internal/jsonlines"

	"github.com/stretchr/testify/require"
)

func TestParseNotification(t *testing.T) {
	for _, test := range []struct {
		line string
		want Notification
	}{
		{`{"cmd":"greeting","result":"steady","elapsed_ms":12.5}`,
			Notification{Kind: Handshake, Result: Steady, Elapsed: 12500 * time.Microsecond}},
		{`{"cmd":"outcome","offset":7,"req":"ab","result":"success","elapsed_ms":40,"payload":"AP8="}`,
			Notification{Kind: Outcome, Offset: 7, RequestID: "ab", Result: Success, Elapsed: 40 * time.Millisecond,
				Payload: []byte{0, 255}}},
		{`{"cmd":"request","offset":8,"req":"ab","payload":"aGk="}`,
			Notification{Kind: CallRequest, Offset: 8, RequestID: "ab", Payload: []byte("hi")}},
		{`{"cmd":"sampled","token":"4","load":[0.5,null,nan,2]}`,
			Notification{Kind: Gauges, Token: "4", Load: []float64{0.5, -1, -1, 2}}},
		{`{"cmd":"exercised","token":"x1","result":"failure"}`,
			Notification{Kind: DeepCheckDone, Token: "x1", Result: Failure}},
		{`{"cmd":"refusal","result":"launch","req":"ab"}`,
			Notification{Kind: CommandRejected, RequestID: "ab", Result: "launch"}},
		{`{"cmd":"aside","offset":9,"result":"so it goes","new":{}}`,
			Notification{Kind: Aside, Offset: 9, Result: "so it goes"}},
	} {
		lineParser := newParser()
		notification, err := lineParser.Parse([]byte(test.line))
		require.NoError(t, err, test.line)
		require.Equal(t, test.want, notification)
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

func FuzzParseNotification(f *testing.F) {
	f.Add([]byte(`{"cmd":"outcome","offset":7,"req":"ab","result":"success","elapsed_ms":40,"payload":"AP8="}`))
	f.Add([]byte(`{"cmd":"sampled","token":"4","load":[0.5,null,nan,2]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		notification, err := newParser().Parse(line)
		if err != nil {
			return
		}
		mayHaveAnyOffset := []Kind{Gauges, Handshake, DeepCheckDone, CommandRejected}
		if notification.Elapsed < 0 || notification.Offset < 0 && !slices.Contains(mayHaveAnyOffset, notification.Kind) {
			t.Errorf("read %+v", notification)
		}
	})
}
