package msgpackrpc

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"falldeal/internal/logging"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// expectInvalid reads the response to the last request, which must be an Invalid error, and returns the reason.
func (c *testClient) expectInvalid() string {
	c.Helper()
	rpcError, result := c.readResponse(int(c.lastCall))
	require.Nil(c, result)
	details := requireType[arrayValue](c, rpcError)
	require.Equal(c, "Invalid", details[0])
	reasons := requireType[mapValue](c, details[1])
	require.Len(c, reasons, 1)
	require.Equal(c, "reason", reasons[0].key)
	return requireType[string](c, reasons[0].value)
}

// The reason sent to a client for each well-formed request that the server rejects as invalid.
func TestGoldenReasons(t *testing.T) {
	oneTenant := []string{`"Tenants": []`, `"Tenants": [{"Name": "a", "Portion": 1, "QuotaPerS": 9}]`}
	peers := startServer(t, append(oneTenant, noIdleClose...)...)
	client := peers.dial()
	var cases []golden.Case
	expectReason := func(name, class, body string, change ...string) {
		t.Helper()
		client.sendRequest(class, body, change...)
		cases = append(cases, golden.Case{Name: name, Text: client.expectInvalid()})
	}
	expectReason("unknown class", "poster", "x")
	expectReason("unknown class of a long name", strings.Repeat("poster", 10), "x")
	expectReason("unknown tenant", "preview", "x", "tenant", "nobody")
	expectReason("no once", "licence-order", "x")
	expectReason("time long ago", "preview", "x", "at", "0")
	expectReason("wait of an hour", "preview", "x", "wait", "3600000")
	runID := client.sendRequest("licence-order", "x", "once", "ab12")
	peers.expectCommand("launch", runID)
	expectReason("other body", "licence-order", "y", "once", "ab12")
	expectReason("id in hand", "preview", "x", "id", runID)
	peers.agentSends("outcome", runID, "success", []byte("x"))
	client.expectAnswer(7, "x")
	expectReason("id answered before", "preview", "x", "id", runID)
	open := client.lastCall
	for range maxOpenCalls {
		client.sendRequest("hires-crop", "x")
	}
	expectReason("too many open", "preview", "x")
	require.Equal(t, open+maxOpenCalls+1, client.lastCall)
	golden.Require(t, "reasons.golden", cases)
}

// Each log line about client connections. An expected end of a connection must not be logged.
func TestGoldenLog(t *testing.T) {
	var lines strings.Builder
	listener := newListener(nil, 1, logging.NewLimiter(golden.NewLogger(&lines)))
	listener.delayAccept(t.Context(), syscall.EMFILE)
	local, _ := net.Pipe()
	for _, ordinary := range []error{io.EOF, net.ErrClosed, errReadPaused} {
		listener.logReadError(local, ordinary)
	}
	listener.logReadError(local, &frameError{errFrameTooLong})
	golden.RequireText(t, "log", lines.String())
}
