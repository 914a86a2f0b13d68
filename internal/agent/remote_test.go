package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"falldeal/internal/logging"
	"falldeal/lab/loopback"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

const testTimeout = 30 * time.Second

// remoteAgent is the agent's side of a Link. The test runs the Link's loop and sets its clock.
type remoteAgent struct {
	*testing.T
	*Link
	listener       net.Listener
	posted         chan func()
	now            time.Duration
	lossesReported int
	unacknowledged []string // request IDs passed to OnReplyUnacknowledged
	notifications  []string // wire name and request ID of each notification received by the Handler
	conn           net.Conn // connection that the test uses
	lines          *bufio.Scanner
}

func newRemoteAgent(t *testing.T) *remoteAgent {
	t.Helper()
	listener := loopback.Listen(t)
	return newRemoteAgentAt(t, listener.Addr().String(), listener)
}

// newRemoteAgentAt is newRemoteAgent with a Link that first dials address, which may differ from that of listener.
func newRemoteAgentAt(t *testing.T, address string, listener net.Listener) *remoteAgent {
	t.Helper()
	remote := &remoteAgent{T: t, listener: listener, posted: make(chan func(), 100)}
	log, _ := test.NewNullLogger()
	loop := Loop{
		Post: func(do func()) { remote.posted <- do },
		Now:  func() time.Duration { return remote.now },
	}
	handler := Handler{
		OnNotification:        remote.record,
		OnLost:                func() { remote.lossesReported++ },
		OnReplyUnacknowledged: func(requestID string) { remote.unacknowledged = append(remote.unacknowledged, requestID) },
	}
	remote.Link = New(Config{Address: address, Seed: 1}, loop, handler, logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go remote.Link.Run(ctx)
	return remote
}

func (r *remoteAgent) record(notification Notification) {
	var text string
	switch notification := notification.(type) {
	case Handshake:
		text = nameHandshake
	case GaugeSample:
		text = nameGaugeSample
	case RunOutcome:
		text = nameRunOutcome + notification.RequestID
	case CallRequest:
		text = nameCallRequest + notification.RequestID
	case Remark:
		text = nameRemark
	default:
		text = fmt.Sprintf("%T", notification)
	}
	r.notifications = append(r.notifications, text)
}

// runPosted runs the next function that the Link posts to its loop.
func (r *remoteAgent) runPosted() { (<-r.posted)() }

// accept accepts the next connection, waits until the loop has taken it over, and expects its subscription after offset.
func (r *remoteAgent) accept(offset int) {
	r.Helper()
	r.use(r.acceptUnsubscribed())
	r.expect(fmt.Sprintf(`{"cmd":"subscribe","offset":%d}`, offset))
}

// acceptUnsubscribed accepts the next connection and waits until the loop knows it.
func (r *remoteAgent) acceptUnsubscribed() net.Conn {
	r.Helper()
	conn, err := r.listener.Accept()
	require.NoError(r, err)
	r.Cleanup(func() { conn.Close() })
	require.NoError(r, conn.SetDeadline(time.Now().Add(testTimeout)))
	for opened := r.ConnectionsOpened(); r.ConnectionsOpened() == opened; {
		r.runPosted() // may also be the end of the previous connection
	}
	return conn
}

// use makes the test read from a connection and write to it from now on.
func (r *remoteAgent) use(conn net.Conn) { r.conn, r.lines = conn, bufio.NewScanner(conn) }

// becomeReady accepts the first connection and makes it ready.
func (r *remoteAgent) becomeReady() {
	r.Helper()
	r.accept(0)
	r.sendHandshake(1)
	r.sendSampled(r.expectSample())
}

// expect reads the next command, which must be want.
func (r *remoteAgent) expect(want string) {
	r.Helper()
	require.True(r, r.lines.Scan(), "%v", r.lines.Err())
	require.Equal(r, want, r.lines.Text())
}

// expectSample reads the next command, which must be a sample, and returns its token.
func (r *remoteAgent) expectSample() (token string) {
	r.Helper()
	require.True(r, r.lines.Scan(), "%v", r.lines.Err())
	_, err := fmt.Sscanf(r.lines.Text(), `{"cmd":"sample","token":%q}`, &token)
	require.NoError(r, err, r.lines.Text())
	return token
}

// send sends a line and runs the function that the Link posts to its loop for it.
func (r *remoteAgent) send(format string, args ...any) {
	r.Helper()
	_, err := fmt.Fprintf(r.conn, format+"\n", args...)
	require.NoError(r, err)
	r.runPosted()
}

func (r *remoteAgent) sendSampled(token string) {
	r.Helper()
	r.send(`{"cmd":"sampled","token":%q,"load":[]}`, token)
}

func (r *remoteAgent) sendHandshake(ageMilliseconds int) {
	r.Helper()
	r.send(`{"cmd":"greeting","result":"steady","elapsed_ms":%d}`, ageMilliseconds)
}
