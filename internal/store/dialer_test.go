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

// newLinkWithoutRun returns a Link for up to one connection. Run is not called, so the test handles its dials.
func newLinkWithoutRun() *Link {
	log, _ := test.NewNullLogger()
	loop := Loop{Post: func(do func()) { do() }, Now: func() time.Duration { return 0 }, Deadlines: deadline.New()}
	return New(Config{Address: "store:1", MaxConnections: 1, Seed: 1}, loop, func(string, Result, []byte) {}, logging.NewLimiter(log))
}

// Abandoning a call must cancel its dial, which would otherwise continue until its timeout.
func TestAbandonCancelsDial(t *testing.T) {
	link := newLinkWithoutRun()
	link.Call("ab", time.Hour, nil)
	request := <-link.dialer.requests
	require.NoError(t, request.ctx.Err())
	require.True(t, link.Abandon("ab"))
	require.ErrorIs(t, request.ctx.Err(), context.Canceled)
}

// A new address must cancel the dials to the old one. If a connection to the old address is opened nevertheless, it must be
// closed and not counted, and a dial to the new address must take its place.
func TestAddressChangeCancelsDial(t *testing.T) {
	link := newLinkWithoutRun()
	link.Call("ab", time.Hour, nil)
	request := <-link.dialer.requests
	link.SetAddress("store:2")
	require.ErrorIs(t, request.ctx.Err(), context.Canceled)
	require.Empty(t, link.dialer.requests) // the cancelled dial still counts towards the limit of one
	local, _ := net.Pipe()
	queue := writequeue.New(local, writeQueueSize)
	link.handleOpened(request, queue)
	require.NoError(t, queue.Run()) // returns because the queue was closed
	require.Zero(t, link.ConnectionsOpened())
	require.Equal(t, "store:2", (<-link.dialer.requests).address)
}

// An idle connection that is used again must not be closed when its former idle time ends.
func TestReusedConnectionIsNotClosedAsIdle(t *testing.T) {
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
