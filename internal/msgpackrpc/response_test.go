package msgpackrpc

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"falldeal/internal/server"

	"github.com/stretchr/testify/require"
)

func TestEncodeAnswer(t *testing.T) {
	long := bytes.Repeat([]byte{1}, 300)
	for _, test := range []struct {
		a    server.Answer
		want arrayValue
	}{
		{server.Answer{Kind: server.Served, Body: long}, arrayValue{nil, arrayValue{binaryValue(long), mapValue{}}}},
		{server.Answer{Kind: server.Healthy}, arrayValue{nil, arrayValue{true, mapValue{}}}},
		{server.Answer{Kind: server.Unhealthy}, arrayValue{nil, arrayValue{false, mapValue{}}}},
		{server.Answer{Kind: server.Failed}, arrayValue{arrayValue{codeInternal, mapValue{}}, nil}},
		{server.Answer{Kind: server.Rejected}, arrayValue{arrayValue{codeOverloaded, mapValue{}}, nil}},
		{server.Answer{Kind: server.Rejected, RetryAfter: 250 * time.Millisecond},
			arrayValue{arrayValue{codeOverloaded, mapValue{{"after", "250"}}}, nil}},
		{server.Answer{Kind: server.Rejected, NoRetryElsewhere: true},
			arrayValue{arrayValue{codeOverloaded, mapValue{{"last", "1"}}}, nil}},
		{server.Answer{Kind: server.Invalid, Reason: "field id"},
			arrayValue{arrayValue{codeInvalid, mapValue{{"reason", "field id"}}}, nil}},
	} {
		value, err := decodeValue(encodeAnswer(70000, test.a))
		require.NoError(t, err)
		require.Equal(t, append(arrayValue{int64(kindResponse), int64(70000)}, test.want...), value)
	}
	value, err := decodeValue(encodeClosing())
	require.NoError(t, err)
	require.Equal(t, arrayValue{int64(kindNotification), methodClosing, arrayValue{}}, value)
}

func BenchmarkEncodeAnswer(b *testing.B) {
	for _, body := range []int{0, 1024, 4096} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			b.ReportAllocs()
			answer := server.Answer{Kind: server.Served, Body: make([]byte, body)}
			for b.Loop() {
				encodeAnswer(7, answer)
			}
		})
	}
}
