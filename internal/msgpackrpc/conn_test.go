package msgpackrpc

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"falldeal/internal/server"

	"github.com/stretchr/testify/require"
)

// Invalid requests are answered; a malformed frame ends its own connection and no other.
func TestInvalidInputIsAnswered(t *testing.T) {
	peers := startServer(t)
	client := peers.dial()
	client.sendRequest("poster", "x")
	client.expectAnswer(1, codeInvalid)
	client.sendRequest("licence-order", "without once")
	client.expectAnswer(2, codeInvalid)
	client.sendRequest("preview", "x", "kb", "-1")
	client.expectAnswer(3, codeInvalid)
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	client.sendRequest("preview", "same id", "id", runID)
	client.expectAnswer(5, codeInvalid)
	for _, broken := range []string{"\xc1", "\x01", "\x94\x00\x01\xa1x\xc6\xff\xff\xff\xff"} {
		other := peers.dial()
		other.write([]byte(broken))
		other.expectConnectionEnd()
	}
	client.write(encodeHealthCheck(6, map[string]string{"deep": "1"}))
	client.expectHealthy(6)
	peers.agentSends("outcome", runID, "success", []byte("served"))
	client.expectAnswer(4, "served")
}

// A frame that is malformed or does not end costs its connection, but what was read before is still answered. The
// connection was closed at once: requests that had been read were lost, and unread bytes reset the connection before
// its answers were read.
func TestBrokenFrameDoesNotLoseAnswers(t *testing.T) {
	t.Parallel()
	garbage := bytes.Repeat([]byte{0xc1}, 100<<10)
	for name, broken := range map[string]func(client *testClient) []byte{
		"garbage": func(*testClient) []byte { return garbage },
		"half frame": func(client *testClient) []byte {
			_, b := client.newRequest("preview", "half")
			return b[:len(b)-1]
		},
		"same number": func(client *testClient) []byte {
			client.lastCall = 0
			_, b := client.newRequest("preview", "twice")
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client := peers.dial()
			runID := client.sendRequest("preview", "x")
			peers.expectCommand("launch", runID)
			client.write(broken(client))
			if name != "half frame" { // where more bytes would complete it
				client.write(encodeHealthCheck(7, nil))
			}
			peers.expectNoCommand() // so that the server has read it
			peers.agentSends("outcome", runID, "success", []byte("x"))
			client.expectAnswer(1, "x")
			client.expectConnectionEnd()
		})
		if name == "same number" {
			continue // once the first is answered, its number is free
		}
		t.Run(name+" after the answer", func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client := peers.dial()
			runID := client.sendRequest("preview", "x")
			peers.expectCommand("launch", runID)
			peers.agentSends("outcome", runID, "success", []byte("x"))
			client.expectAnswer(1, "x")
			client.write(broken(client))
			client.expectConnectionEnd()
		})
	}
}

// After cancelRequest no answer is sent, and later events of the run do no harm.
func TestCancelledRequestGetsNoAnswer(t *testing.T) {
	peers := startServer(t)
	client := peers.dial()
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	client.write(encodeCancel(1))
	client.write(encodeCancel(99)) // unknown
	client.write(encodeHealthCheck(2, nil))
	client.expectHealthy(2)
	peers.agentSends("outcome", runID, "interrupted", nil)
	client.lastCall = 2
	next := client.sendRequest("preview", "y")
	peers.expectCommand("launch", next)
	peers.agentSends("outcome", next, "success", []byte("y"))
	client.expectAnswer(3, "y")
}

// Connections that send nothing, or begin a message and don't end it, must not keep other clients out. One that has
// sent a whole message may be silent for as long as idle ones may.
func TestSilentConnectionsAreClosed(t *testing.T) {
	peers := startServer(t, `"IdleUs": 30000000`, `"IdleUs": 0`)
	active, silent, half, later := peers.dial(), peers.dial(), peers.dial(), peers.dial()
	for _, client := range []*testClient{active, later} {
		client.write(encodeHealthCheck(1, nil))
		client.expectHealthy(1)
	}
	half.write([]byte("\x94\x00"))
	later.write([]byte("\x94"))
	for _, client := range []*testClient{silent, half, later} {
		client.expectConnectionEnd()
	}
	active.write(encodeHealthCheck(2, nil))
	active.expectHealthy(2)
}

// The ends of connections are counted by reason.
func TestEndReasonOfError(t *testing.T) {
	for _, test := range []struct {
		err  error
		want server.EndReason
	}{
		{io.EOF, server.Disconnected},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, server.Disconnected},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, server.Disconnected},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, server.ReadTimeout},
		{errFrameTooLong, server.MalformedInput},
		{fmt.Errorf("%w: kind 7", errNotRPCMessage), server.MalformedInput},
	} {
		require.Equal(t, test.want, endReason(test.err), "%v", test.err)
	}
}
