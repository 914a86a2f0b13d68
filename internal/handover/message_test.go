package handover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Every message must be decoded as it was encoded, and invalid lines must be rejected.
func TestMessageRoundTrip(t *testing.T) {
	lineParser := newParser()
	for _, message := range []Message{
		KeysSynced{},
		KeyKnown{IdempotencyKey: "ab12", Digest: 1<<64 - 1, WindowEnd: 1796147027278 * time.Millisecond},
		RunCompleted{IdempotencyKey: "ab12", OK: true, Result: []byte("\x00\xff\r\n\"")},
		KeyReleased{IdempotencyKey: "ab12"},
		KeyClaim{IdempotencyKey: "ab12", Digest: 7, ArrivedAt: -1},
		KeyGranted{IdempotencyKey: "ab12"},
	} {
		got, err := lineParser.Parse(appendMessage(nil, message))
		require.NoError(t, err)
		require.Equal(t, message, got)
	}
	for _, line := range []string{"", "[]", `{"cmd":"known"}`, `{"cmd":"news","once":"ab"}`,
		`{"cmd":"grant","once":"ab","digest":"x","at":"0"}`, `{"cmd":"grant","once":"ab","digest":"1","at":"1.5"}`,
		`{"cmd":"over","once":"ab","digest":"1","at":"1","body":"%"}`} {
		_, err := lineParser.Parse([]byte(line))
		require.Error(t, err, line)
	}
}

// A message that was parsed from any input must survive another round trip.
func FuzzParseMessage(f *testing.F) {
	f.Add(appendMessage(nil, RunCompleted{IdempotencyKey: "ab12", OK: true, Result: []byte("x")}))
	f.Fuzz(func(t *testing.T, text []byte) {
		lineParser := newParser()
		message, err := lineParser.Parse(text)
		if err != nil {
			return
		}
		if _, synced := message.(KeysSynced); synced {
			return
		}
		fields := message.line()
		fields.key = "ab" // keys are sent without escaping
		sent, err := fields.message()
		require.NoError(t, err)
		received, err := lineParser.Parse(appendMessage(nil, sent))
		require.NoError(t, err)
		require.Equal(t, sent, received)
	})
}
