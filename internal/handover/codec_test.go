package handover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMessages(t *testing.T) {
	var p parser
	for _, m := range []Message{
		{Kind: Synced},
		{Kind: Known, IdempotencyKey: "ab12", Digest: 1<<64 - 1, At: 1796147027278 * time.Millisecond},
		{Kind: Completed, IdempotencyKey: "ab12", OK: true, Body: []byte("\x00\xff\r\n\"")},
		{Kind: Released, IdempotencyKey: "ab12"},
		{Kind: Claim, IdempotencyKey: "ab12", Digest: 7, At: -1},
		{Kind: Grant, IdempotencyKey: "ab12"},
	} {
		got, err := p.parse(appendMessage(nil, m))
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
	for _, line := range []string{"", "[]", `{"cmd":"known"}`, `{"cmd":"news","once":"ab"}`,
		`{"cmd":"grant","once":"ab","digest":"x","at":"0"}`, `{"cmd":"grant","once":"ab","digest":"1","at":"1.5"}`,
		`{"cmd":"over","once":"ab","digest":"1","at":"1","body":"%"}`} {
		_, err := p.parse([]byte(line))
		require.Error(t, err, line)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(appendMessage(nil, Message{Kind: Completed, IdempotencyKey: "ab12", OK: true, Body: []byte("x")}))
	f.Fuzz(func(t *testing.T, line []byte) {
		var p parser
		m, err := p.parse(line)
		if err != nil || m.Kind == Synced {
			return
		}
		again, err := p.parse(appendMessage(nil, Message{Kind: m.Kind, IdempotencyKey: "ab", Digest: m.Digest, At: m.At, OK: m.OK, Body: m.Body}))
		require.NoError(t, err)
		m.IdempotencyKey = "ab"
		require.Equal(t, m, again)
	})
}
