package store

import (
	"context"
	"net"
	"testing"
	"time"

	"falldeal/internal/deadline"
	"falldeal/internal/logging"
	"falldeal/internal/writequeue"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// newLinkWithoutRun returns a Link with room for one connection, whose dials are left to the test.
func newLinkWithoutRun() *Link {
	log, _ := test.NewNullLogger()
	loop := Loop{Post: func(do func()) { do() }, Now: func() time.Duration { return 0 }, Deadlines: deadline.New()}
	return New(Config{Address: "store:1", MaxConnections: 1, Seed: 1}, loop, func(string, Result, []byte) {}, logging.NewLimiter(log))
}

// A call that is abandoned cancels its dial, which does not wait for its timeout then.
func TestAbandonCancelsDial(t *testing.T) {
	link := newLinkWithoutRun()
	link.Call("ab", time.Hour, nil)
	request := <-link.dialer.requests
	require.NoError(t, request.ctx.Err())
	require.True(t, link.Abandon("ab"))
	require.ErrorIs(t, request.ctx.Err(), context.Canceled)
}

// A new address cancels the dials to the old one. A connection that was opened for all that is closed and not counted, and
// its place goes to a dial to the new address.
func TestAddressChangeCancelsDial(t *testing.T) {
	link := newLinkWithoutRun()
	link.Call("ab", time.Hour, nil)
	request := <-link.dialer.requests
	link.SetAddress("store:2")
	require.ErrorIs(t, request.ctx.Err(), context.Canceled)
	require.Empty(t, link.dialer.requests) // the one place is still taken
	local, _ := net.Pipe()
	queue := writequeue.New(local, writeQueueSize)
	link.handleOpened(request, queue)
	require.NoError(t, queue.Run()) // returns as the queue was closed
	require.Zero(t, link.ConnectionsOpened())
	require.Equal(t, "store:2", (<-link.dialer.requests).address)
}

// An idle connection that is used again is not closed at the timeout of its idle time.
func TestUsedConnectionIsNotIdle(t *testing.T) {
	link := newLinkWithoutRun()
	link.Call("ab", time.Hour, nil)
	local, _ := net.Pipe()
	queue := writequeue.New(local, writeQueueSize)
	link.handleOpened(<-link.dialer.requests, queue)
	link.handleReply(queue, replyFrame{requestID: "ab", result: Rejected})
	link.Call("cd", time.Hour, nil)
	link.loop.Deadlines.Sweep(idleTimeout)
	require.Len(t, link.connections, 1)
	require.Equal(t, 1, link.InFlight())
}
