package frontrpc

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// decodeRequest encodes a request and returns the elements of the message.
func decodeRequest(t *testing.T, request *Request) []any {
	t.Helper()
	var buffer bytes.Buffer
	require.NoError(t, request.Encode(msgpack.NewEncoder(&buffer), 7))
	message, err := msgpack.NewDecoder(&buffer).DecodeSlice()
	require.NoError(t, err)
	return message
}

// A request must have the fields that the protocol defines, and either an idempotency key or a subject.
func TestEncodedRequestHasProtocolFields(t *testing.T) {
	request := &Request{
		Class: "preview", ID: "a1", Client: 3, MemoryKB: 24, Rank: 0.25, SentAt: time.UnixMilli(1700000000000),
		Timeout: 1500 * time.Millisecond, CostHint: 2500 * time.Microsecond, Subject: "s1", Body: []byte("body"),
	}
	fields := map[string]any{
		"id": "a1", "from": "3", "kb": "24.0", "rank": "0.2500", "at": "1700000000000", "wait": "1500", "cost": "2.50",
		"key": "s1",
	}
	want := []any{int8(RequestType), uint32(7), "preview", []any{fields, []byte("body")}}
	require.Equal(t, want, decodeRequest(t, request))

	request.IdempotencyKey = "k1"
	delete(fields, "key")
	fields["once"] = "k1"
	require.Equal(t, want, decodeRequest(t, request))
}

// Retry advice that is missing or cannot be parsed must not hide the name of an error.
func TestParseFailure(t *testing.T) {
	for name, testCase := range map[string]struct {
		value any
		want  Failure
		ok    bool
	}{
		"name alone": {[]any{"Timeout"}, Failure{Name: "Timeout"}, true},
		"with advice": {
			[]any{ErrorOverloaded, map[string]any{"after": "2.5", "last": "1"}},
			Failure{Name: ErrorOverloaded, RetryAfter: 2500 * time.Microsecond, NoRetryElsewhere: true}, true,
		},
		"unreadable advice": {
			[]any{ErrorOverloaded, map[string]any{"after": "soon", "last": "0"}}, Failure{Name: ErrorOverloaded}, true,
		},
		"details of another form": {[]any{ErrorOverloaded, "soon"}, Failure{Name: ErrorOverloaded}, true},
		"none":                    {nil, Failure{}, false},
		"empty":                   {[]any{}, Failure{}, false},
		"no list":                 {"oops", Failure{}, false},
		"no name":                 {[]any{5}, Failure{}, false},
	} {
		failure, ok := ParseFailure(testCase.value)
		require.Equal(t, testCase.ok, ok, name)
		require.Equal(t, testCase.want, failure, name)
	}
}
