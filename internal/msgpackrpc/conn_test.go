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

// An invalid request must be answered. A malformed frame must end its own connection and no other.
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

// A frame is malformed or incomplete after other requests were read. The connection used to be closed at once: the requests
// read before were lost, and unread bytes reset the connection before the client had read its answers. Requests read before
// the frame must still be answered.
func TestMalformedFrameDoesNotLoseAnswers(t *testing.T) {
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
			if name != "half frame" { // these bytes would complete the half frame
				client.write(encodeHealthCheck(7, nil))
			}
			peers.expectNoCommand() // by now the server has read the broken input
			peers.agentSends("outcome", runID, "success", []byte("x"))
			client.expectAnswer(1, "x")
			client.expectConnectionEnd()
		})
		if name == "same number" {
			continue // the number of an answered call is free again
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

// After cancelRequest no answer may be sent, and later notifications about the run must have no effect.
func TestCancelledRequestGetsNoAnswer(t *testing.T) {
	peers := startServer(t)
	client := peers.dial()
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	client.write(encodeCancel(1))
	client.write(encodeCancel(99)) // unknown call
	client.write(encodeHealthCheck(2, nil))
	client.expectHealthy(2)
	peers.agentSends("outcome", runID, "interrupted", nil)
	client.lastCall = 2
	next := client.sendRequest("preview", "y")
	peers.expectCommand("launch", next)
	peers.agentSends("outcome", next, "success", []byte("y"))
	client.expectAnswer(3, "y")
}

// A connection that sends nothing, or only the start of a message, must be closed so that it does not keep other clients
// out. A connection that has sent a complete message may stay silent.
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

// The reason for the end of a connection is counted, so each read error must map to the right reason.
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
