package handover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMessageRoundTrip(t *testing.T) {
	lineParser := newParser()
	for _, message := range []Message{
		{Kind: Synced},
		{Kind: Known, IdempotencyKey: "ab12", Digest: 1<<64 - 1, At: 1796147027278 * time.Millisecond},
		{Kind: Completed, IdempotencyKey: "ab12", OK: true, Body: []byte("\x00\xff\r\n\"")},
		{Kind: Released, IdempotencyKey: "ab12"},
		{Kind: Claim, IdempotencyKey: "ab12", Digest: 7, At: -1},
		{Kind: Grant, IdempotencyKey: "ab12"},
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

func FuzzParseMessage(f *testing.F) {
	f.Add(appendMessage(nil, Message{Kind: Completed, IdempotencyKey: "ab12", OK: true, Body: []byte("x")}))
	f.Fuzz(func(t *testing.T, line []byte) {
		lineParser := newParser()
		message, err := lineParser.Parse(line)
		if err != nil || message.Kind == Synced {
			return
		}
		message.IdempotencyKey = "ab" // what stands there is sent without escapes
		again, err := lineParser.Parse(appendMessage(nil, message))
		require.NoError(t, err)
		require.Equal(t, message, again)
	})
}
