package msgpackrpc

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"falldeal/internal/server"

	"github.com/stretchr/testify/require"
)

func appendHealthCheck(id uint32, fields map[string]string) []byte {
	b := appendUint(append(appendArray(nil, 4), kindRequest), id)
	return appendFields(appendArray(appendString(b, methodHealth), 1), fields)
}

// Wrong requests are answered; a broken frame ends its own connection and no other.
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
	client.write(appendHealthCheck(6, map[string]string{"deep": "1"}))
	client.expectAnswer(6, "%!s(bool=true)")
	peers.agentSends("outcome", runID, "success", []byte("served"))
	client.expectAnswer(4, "served")
}

// After cancelRequest nothing is owed, and what the run still tells does no harm.
func TestCancelledRequestGetsNoAnswer(t *testing.T) {
	peers := startServer(t)
	client := peers.dial()
	runID := client.sendRequest("preview", "x")
	peers.expectCommand("launch", runID)
	cancel := appendString(append(appendArray(nil, 3), kindNotification), methodCancel)
	client.write(appendUint(appendArray(cancel, 1), 1))
	client.write(appendUint(appendArray(cancel, 1), 99)) // unknown
	client.write(appendHealthCheck(2, nil))
	client.expectAnswer(2, "%!s(bool=true)")
	peers.agentSends("outcome", runID, "interrupted", nil)
	client.lastCall = 2
	next := client.sendRequest("preview", "y")
	peers.expectCommand("launch", next)
	peers.agentSends("outcome", next, "success", []byte("y"))
	client.expectAnswer(3, "y")
}

// Front ends may take half of the descriptors: the connection idle for longest makes room.
func TestConnectionLimit(t *testing.T) {
	peers := startServer(t, `"sockets": 1024`, `"sockets": 64`)
	var clients []*testClient
	for i := range 25 { // 8 of 32 are spare
		client := peers.dial()
		client.write(appendHealthCheck(1, nil))
		client.expectAnswer(1, "%!s(bool=true)")
		if i == 0 {
			peers.expectCommand("launch", client.sendRequest("preview", "busy"))
		}
		clients = append(clients, client)
	}
	clients[1].expectConnectionEnd()
	clients[2].write(appendHealthCheck(2, nil))
	clients[2].expectAnswer(2, "%!s(bool=true)")
}

// Connections that say nothing, or begin a message and don't end it, must not keep front ends out. One that
// has sent a whole message may be silent for as long as idle ones may.
func TestSilentConnectionsAreClosed(t *testing.T) {
	peers := startServer(t, `"IdleUs": 30000000`, `"IdleUs": 0`)
	active, silent, half, later := peers.dial(), peers.dial(), peers.dial(), peers.dial()
	for _, client := range []*testClient{active, later} {
		client.write(appendHealthCheck(1, nil))
		client.expectAnswer(1, "%!s(bool=true)")
	}
	half.write([]byte("\x94\x00"))
	later.write([]byte("\x94"))
	for _, client := range []*testClient{silent, half, later} {
		client.expectConnectionEnd()
	}
	active.write(appendHealthCheck(2, nil))
	active.expectAnswer(2, "%!s(bool=true)")
}

// What ended a connection is counted by its kind.
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
