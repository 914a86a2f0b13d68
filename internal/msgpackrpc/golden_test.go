package msgpackrpc

import (
	"bytes"
	"encoding/hex"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"falldeal/internal/server"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// Every message to a client: one frame per line, in hex digits.
func TestGoldenAnswers(t *testing.T) {
	body := func(n int) []byte { return bytes.Repeat([]byte{0xab}, n) }
	reason := func(n int) string { return strings.Repeat("r", n) }
	var cases []golden.Case
	for _, test := range []struct {
		name   string
		call   uint32
		answer server.Answer
	}{
		{"served without a body", 0, server.Answer{Kind: server.Served}},
		{"served", 1, server.Answer{Kind: server.Served, Body: []byte("\x00\xffbody\r\n")}},
		{"served, 255 bytes", 1, server.Answer{Kind: server.Served, Body: body(255)}},
		{"served, 256 bytes", 1, server.Answer{Kind: server.Served, Body: body(256)}},
		{"call 127", 127, server.Answer{Kind: server.Served}},
		{"call 128", 128, server.Answer{Kind: server.Served}},
		{"call 255", 255, server.Answer{Kind: server.Served}},
		{"call 256", 256, server.Answer{Kind: server.Served}},
		{"call 65535", 65535, server.Answer{Kind: server.Served}},
		{"call 65536", 65536, server.Answer{Kind: server.Served}},
		{"call 4294967295", 4294967295, server.Answer{Kind: server.Served}},
		{"healthy", 2, server.Answer{Kind: server.Healthy}},
		{"unhealthy", 2, server.Answer{Kind: server.Unhealthy}},
		{"failed", 3, server.Answer{Kind: server.Failed}},
		{"refused without advice", 4, server.Answer{Kind: server.Rejected}},
		{"refused, stay away for less than a millisecond", 4,
			server.Answer{Kind: server.Rejected, RetryAfter: 999 * time.Microsecond}},
		{"refused, stay away", 4, server.Answer{Kind: server.Rejected, RetryAfter: 1250999 * time.Microsecond}},
		{"refused for good", 4, server.Answer{Kind: server.Rejected, NoRetryElsewhere: true}},
		{"refused for good, stay away", 4,
			server.Answer{Kind: server.Rejected, RetryAfter: 250 * time.Millisecond, NoRetryElsewhere: true}},
		{"invalid without a reason", 5, server.Answer{Kind: server.Invalid}},
		{"invalid", 5, server.Answer{Kind: server.Invalid, Reason: "field id"}},
		{"invalid, 31 bytes", 5, server.Answer{Kind: server.Invalid, Reason: reason(31)}},
		{"invalid, 32 bytes", 5, server.Answer{Kind: server.Invalid, Reason: reason(32)}},
		{"invalid, 255 bytes", 5, server.Answer{Kind: server.Invalid, Reason: reason(255)}},
		{"invalid, 256 bytes", 5, server.Answer{Kind: server.Invalid, Reason: reason(256)}},
	} {
		cases = append(cases, golden.Case{Name: test.name, Text: hex.EncodeToString(encodeAnswer(test.call, test.answer))})
	}
	const head = 10 // bytes of a frame before its body
	long := encodeAnswer(1, server.Answer{Kind: server.Served, Body: body(65536)})
	cases = append(cases, golden.Case{Name: "served, 65536 bytes, what comes before them", Text: hex.EncodeToString(long[:head])},
		golden.Case{Name: "closing", Text: hex.EncodeToString(encodeClosing())})
	golden.Require(t, "answers.golden", cases)
}

// The bytes that a client reads until its connection ends while the server drains.
func TestGoldenClose(t *testing.T) {
	var cases []golden.Case
	for _, test := range []struct {
		name string
		use  func(test *conn)
	}{
		{"drain with a request in hand", func(test *conn) {
			test.NotifyClosing()
			test.Answer(1, server.Answer{Kind: server.Served, Body: []byte("x")})
			test.Answer(2, server.Answer{Kind: server.Rejected, RetryAfter: time.Second})
			test.Close()
		}},
		{"drain of an idle connection", func(test *conn) {
			test.NotifyClosing()
			require.True(t, test.TryClose())
		}},
		{"close", func(test *conn) { test.Close() }},
	} {
		local, remote := net.Pipe()
		connection := newConn(local)
		done := make(chan error, 1)
		test.use(connection)
		go func() { done <- connection.queue.Run() }()
		written, err := io.ReadAll(remote)
		require.NoError(t, err, test.name)
		require.NoError(t, <-done, test.name)
		cases = append(cases, golden.Case{Name: test.name, Text: strconv.Quote(hex.EncodeToString(written))})
	}
	golden.Require(t, "close.golden", cases)
}

// parsedCancel is a parsed cancelRequest; found is false if it names no call.
type parsedCancel struct {
	call  uint32
	found bool
}

// parsedHealthCheck is a parsed health check; true if it is a deep one.
type parsedHealthCheck bool

// parseClientMessage parses a message as conn.dispatch does.
func parseClientMessage(msg message) (any, error) {
	switch {
	case msg.kind == kindNotification:
		call, found := parseCancel(msg)
		return parsedCancel{call, found}, nil
	case string(msg.method) == methodHealth:
		deep, err := parseHealthCheck(msg)
		return parsedHealthCheck(deep), err
	}
	return parseRequest(msg, &methodCache{})
}

// Every message from a client: one frame per line, in hex digits.
func TestGoldenRequests(t *testing.T) {
	minimal := server.Attempt{
		ID:       "9B1F03AA5C7E2D41",
		Class:    "preview",
		Client:   2147483647,
		MemoryKB: 0.5,
		Body:     []byte("x"),
	}
	complete := server.Attempt{
		ID:             "9b1f03aa5c7e2d41",
		IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		Subject:        "7f3a",
		Class:          "preview",
		Tenant:         "north",
		Retry:          true,
		ArrivedAt:      1764576000123 * time.Millisecond,
		Timeout:        480 * time.Millisecond,
		Client:         4,
		CostHint:       12500 * time.Microsecond,
		MemoryKB:       24.5,
		Rank:           0.625,
		Body:           []byte("\x00\xffbody\r\n"),
	}
	crop, twice := minimal, minimal
	crop.Class, crop.Body = "hires-crop", []byte{}
	twice.MemoryKB = 7
	cases := []struct {
		name   string
		kind   messageKind
		call   uint32
		method string
		want   any
	}{
		{"request with all fields", 0, 7, "preview", complete},
		{"request with the least fields", 0, 255, "hires-crop", crop},
		{"request with a field twice and one unknown", 0, 256, "preview", twice},
		{"request in the widest heads", 0, 4294967295, "preview", minimal},
		{"health check", 0, 1, "alive", parsedHealthCheck(false)},
		{"health check, deep", 0, 2, "alive", parsedHealthCheck(true)},
		{"health check, not deep", 0, 3, "alive", parsedHealthCheck(false)},
		{"cancel", 2, 0, "cancelRequest", parsedCancel{7, true}},
		{"cancel of the largest number", 2, 0, "cancelRequest", parsedCancel{4294967295, true}},
		{"cancel without a number", 2, 0, "cancelRequest", parsedCancel{}},
		{"cancel of a text", 2, 0, "cancelRequest", parsedCancel{}},
		{"unknown notification", 2, 0, "hello", parsedCancel{}},
	}
	frames := golden.Read(t, "requests.golden", len(cases))
	for _, test := range cases {
		require.Contains(t, frames, test.name)
		sent, err := hex.DecodeString(frames[test.name])
		require.NoError(t, err, test.name)
		msg := mustParse(t, sent)
		require.Equal(t, test.kind, msg.kind, test.name)
		require.Equal(t, test.call, msg.call, test.name)
		require.Equal(t, test.method, string(msg.method), test.name)
		got, err := parseClientMessage(msg)
		require.NoError(t, err, test.name)
		require.Equal(t, test.want, got, test.name)
	}
}

// The error that is logged for each malformed frame, which ends its connection.
func TestGoldenMalformedFrames(t *testing.T) {
	var cases []golden.Case
	for _, test := range []struct{ name, sent string }{
		{"byte that starts no value", "\xc1"},
		{"too long", "\xc6\xff\xff\xff\xff"},
		{"too deep", strings.Repeat("\x91", maxDepth+2)},
		{"too many values", "\xdc\x00\x80"},
		{"no array", "\xc0"},
		{"array too short", "\x92\x00\x01"},
		{"answer", "\x94\x01\x02\xc0\xc0"},
		{"kind that is no number", "\x94\xa10\x01\xa1x\x90"},
		{"negative call", "\x94\x00\xff\xa1x\x90"},
		{"call past 32 bits", "\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa1x\x90"},
		{"request of 3 parts", "\x93\x00\x01\xa1x"},
		{"request of 5 parts", "\x95\x00\x01\xa1x\x90\xc0"},
		{"notification of 4 parts", "\x94\x02\xa1x\x90\xc0"},
	} {
		frame, err := readFrame([]byte(test.sent), len(test.sent))
		if err == nil {
			_, err = parseMessage(frame)
		}
		require.Error(t, err, test.name)
		cases = append(cases, golden.Case{Name: test.name, Text: err.Error()})
	}
	golden.Require(t, "broken.golden", cases)
}

// The reason sent to a client for each invalid field of a request or health check.
func TestGoldenInvalidFields(t *testing.T) {
	long := strings.Repeat("k", maxKeyLength+1)
	requests := []struct{ name, frame string }{
		{"no method", "\x94\x00\x07\xc0\x92\x80\xc4\x00"},
		{"no parameters", "\x94\x00\x07\xa1x\xc0"},
		{"parameters without a body", "\x94\x00\x07\xa1x\x91\x80"},
		{"fields that are no map", "\x94\x00\x07\xa1x\x92\x01\xc4\x00"},
		{"field that is no text", "\x94\x00\x07\xa1x\x92\x81\xa2id\x01\xc4\x00"},
		{"name that is no text", "\x94\x00\x07\xa1x\x92\x81\x01\xa2id\xc4\x00"},
		{"body past the limit", string(encodeRequest(7, "preview", sampleFields(), make([]byte, maxBody+1)))},
		{"body that is a text", "\x94\x00\x07\xa1x\x92" + string(appendFields(nil, sampleFields())) + "\xa1b"},
		{"health check without parameters", "\x94\x00\x07\xa5alive\x90"},
		{"health check, fields that are no map", "\x94\x00\x07\xa5alive\x91\x01"},
		{"health check, field that is no text", "\x94\x00\x07\xa5alive\x91\x81\xa4deep\xc3"},
	}
	for _, test := range []struct{ field, what, value string }{
		{"id", "absent", absentField}, {"id", "short", "9b1f"}, {"id", "no hex digits", "9b1f03aa5c7e2d4g"},
		{"id", "long", long},
		{"at", "absent", absentField}, {"at", "negative", "-1"}, {"at", "too late", "4398046511105"},
		{"wait", "empty", ""}, {"wait", "too long", "3600001"},
		{"from", "absent", absentField}, {"from", "too large", "2147483648"},
		{"cost", "no number", "x"}, {"cost", "too large", "1000000"},
		{"kb", "absent", absentField}, {"kb", "nothing", "0"}, {"kb", "too large", "2000"},
		{"rank", "too large", "1"}, {"rank", "negative", "-0.1"},
		{"once", "empty", ""}, {"once", "no hex digits", "x"},
		{"tenant", "long", long}, {"key", "long", long},
	} {
		fields := maps.Clone(sampleFields())
		if fields[test.field] = test.value; test.value == absentField {
			delete(fields, test.field)
		}
		frame := string(encodeRequest(7, "preview", fields, nil))
		requests = append(requests, struct{ name, frame string }{test.field + ", " + test.what, frame})
	}
	var cases []golden.Case
	for _, test := range requests {
		_, err := parseClientMessage(mustParse(t, []byte(test.frame)))
		require.Error(t, err, test.name)
		cases = append(cases, golden.Case{Name: test.name, Text: err.Error()})
	}
	golden.Require(t, "fields.golden", cases)
}
