package store

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"falldeal/internal/deadline"
	"falldeal/internal/logging"
	"falldeal/internal/reconnect"
	"falldeal/lab/loopback"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// fakeLoop runs the functions that a Link posts, on the test's goroutine and with the test's clock.
type fakeLoop struct {
	*testing.T
	posted    chan func()
	now       time.Duration
	deadlines *deadline.Queue
	outcomes  []string
	link      *Link
}

func newFakeLoop(t *testing.T, addr string) *fakeLoop {
	t.Helper()
	fake := &fakeLoop{T: t, posted: make(chan func(), 10), deadlines: deadline.New()}
	log, _ := test.NewNullLogger()
	loop := Loop{Post: func(f func()) { fake.posted <- f }, Now: func() time.Duration { return fake.now },
		Deadlines: fake.deadlines}
	fake.link = New(Config{Address: addr, MaxConnections: 4, Seed: 1}, loop, fake.record, logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go fake.link.Run(ctx)
	return fake
}

func (l *fakeLoop) record(requestID string, result Result, body []byte) {
	l.outcomes = append(l.outcomes, outcome(requestID, result, string(body)))
}

// outcome formats the end of a call.
func outcome(requestID string, result Result, body string) string {
	return fmt.Sprintf("%s %s %s", requestID, result, body)
}

// runPosted runs the next function that the Link posts to its loop.
func (l *fakeLoop) runPosted() { (<-l.posted)() }

// runUntilOutcomes runs functions that the Link posts until count calls have ended.
func (l *fakeLoop) runUntilOutcomes(count int) {
	for len(l.outcomes) < count {
		l.runPosted()
	}
}

// acceptCall accepts the connection opened for a call and reads the call from it.
func (l *fakeLoop) acceptCall(listener net.Listener, call string, body string) (net.Conn, *bufio.Reader) {
	l.Helper()
	conn, err := listener.Accept()
	require.NoError(l, err)
	l.Cleanup(func() { conn.Close() })
	l.runPosted()
	reader := bufio.NewReader(conn)
	l.expect(reader, call, body)
	return conn, reader
}

// expect reads lines, which must be the given ones.
func (l *fakeLoop) expect(in *bufio.Reader, lines ...string) {
	l.Helper()
	for _, want := range lines {
		line, err := in.ReadString('\n')
		require.NoError(l, err)
		require.Equal(l, want+"\r\n", line)
	}
}

// expectClosed requires that the Link ends a connection, and runs the function that it posts for that.
func (l *fakeLoop) expectClosed(in *bufio.Reader) {
	l.Helper()
	_, err := in.ReadByte()
	require.Error(l, err)
	l.runPosted()
}

// A refused connection proves that the call did not run. A connection that breaks during the call does not.
func TestConnectionRefusedAndBroken(t *testing.T) {
	ln := loopback.Listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	conn, _ := fake.acceptCall(ln, "CALL ab 3600000 0", "")
	require.NoError(t, ln.Close())
	conn.Close()
	fake.runPosted()
	fake.link.Call("cd", time.Hour, nil)
	fake.runPosted()
	require.Equal(t, []string{outcome("ab", ConnectionBroken, ""), outcome("cd", ConnectionRefused, "")}, fake.outcomes)
}

// After the store has moved, new calls must go to the new address. A call in flight may complete on its connection within
// the drain timeout.
func TestAddressChange(t *testing.T) {
	old, next := loopback.Listen(t), loopback.Listen(t)
	fake := newFakeLoop(t, old.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	firstConn, _ := fake.acceptCall(old, "CALL ab 3600000 0", "")
	fake.link.Call("cd", time.Hour, nil)
	_, secondReader := fake.acceptCall(old, "CALL cd 3600000 0", "")
	fake.link.SetAddress(next.Addr().String())
	fake.link.Call("ef", time.Hour, nil)
	fake.acceptCall(next, "CALL ef 3600000 0", "")
	fmt.Fprint(firstConn, "ab OK 1\r\nx\r\n")
	fake.runPosted()
	fake.runPosted() // the end of that connection, which gets no further call
	fake.now = reconnect.DrainTimeout
	fake.deadlines.Sweep(fake.now)
	fake.expectClosed(secondReader)
	require.Equal(t, []string{outcome("ab", OK, "x"), outcome("cd", ConnectionBroken, "")}, fake.outcomes)
	require.EqualValues(t, 3, fake.link.ConnectionsOpened())
}

// A failed dial to the old address must not end a call that waits for a connection.
func TestAddressChangeDuringDial(t *testing.T) {
	old, next := loopback.Listen(t), loopback.Listen(t)
	require.NoError(t, old.Close())
	fake := newFakeLoop(t, old.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	fake.link.SetAddress(next.Addr().String())
	fake.runPosted()
	require.Empty(t, fake.outcomes)
	_, err := next.Accept()
	require.NoError(t, err)
	fake.runPosted()
	require.EqualValues(t, 1, fake.link.ConnectionsOpened())
}

// At its deadline a call must be abandoned together with its connection: the reply may never arrive, or might be mistaken for
// the reply to a later call.
func TestCallExpiry(t *testing.T) {
	ln := loopback.Listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", 100*time.Millisecond, []byte("x"))
	fake.now = 40 * time.Millisecond // the time of the dial counts
	conn, reader := fake.acceptCall(ln, "CALL ab 60 1", "x")
	fake.now = 100 * time.Millisecond
	fake.deadlines.Sweep(fake.now)
	require.Equal(t, []string{outcome("ab", Expired, "")}, fake.outcomes)
	fmt.Fprint(conn, "ab OK 1\r\nx\r\n")
	fake.expect(reader, "DROP ab")
	fake.link.Call("ab", fake.now+time.Second, nil)
	for len(fake.link.connections) == 0 { // the end of the first connection may be posted before
		fake.runPosted()
	}
	require.Len(t, fake.outcomes, 1)
}

// A reply that cannot be parsed must end only the call that it was for, and no other call in flight.
func TestInvalidReplyEndsOnlyItsCall(t *testing.T) {
	ln := loopback.Listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	firstConn, _ := fake.acceptCall(ln, "CALL ab 3600000 0", "")
	fake.link.Call("cd", time.Hour, nil)
	secondConn, reader := fake.acceptCall(ln, "CALL cd 3600000 0", "")
	fmt.Fprint(firstConn, "ab OK 3000000000\r\n")
	fake.runPosted()
	fmt.Fprint(secondConn, "cd OK 1\r\nx\r\n")
	fake.runPosted()
	require.Equal(t, []string{outcome("ab", ConnectionBroken, ""), outcome("cd", OK, "x")}, fake.outcomes)
	fake.link.Call("ef", time.Hour, nil) // reuses the connection, within its idle timeout
	fake.expect(reader, "CALL ef 3600000 0", "")
	fmt.Fprint(secondConn, "ef BUSY\r\n")
	fake.runPosted()
	fake.now += idleTimeout
	fake.deadlines.Sweep(fake.now)
	fake.expectClosed(reader)
	require.Empty(t, fake.link.connections)
}

// An unsolicited reply must end no call, and its connection must get no further call. A duplicate reply might be mistaken for
// the reply to the next call of the same request, so that call must go to another connection.
func TestUnsolicitedReplyRetiresConnection(t *testing.T) {
	ln := loopback.Listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	first, firstReader := fake.acceptCall(ln, "CALL ab 3600000 0", "")
	fmt.Fprint(first, "ab OK 1\r\nx\r\n")
	fake.runPosted()
	fake.link.Call("ab", time.Hour, nil)
	second, secondReader := fake.acceptCall(ln, "CALL ab 3600000 0", "")
	fmt.Fprint(first, "ab OK 1\r\nx\r\n")
	fake.runPosted()
	fake.expectClosed(firstReader)
	fmt.Fprint(second, "ff OK 1\r\ny\r\n")
	fake.runPosted()
	fmt.Fprint(second, "ab OK 1\r\nz\r\n")
	fake.runPosted()
	fake.expectClosed(secondReader)
	require.Equal(t, []string{outcome("ab", OK, "x"), outcome("ab", OK, "z")}, fake.outcomes)
}

// The store may close a connection, or send a duplicate reply on it, shortly after it has answered a call. On the connection
// that has been idle longest, the Link has most likely detected this already. Calls must therefore use that one first.
func TestLongestIdleConnectionFirst(t *testing.T) {
	ln := loopback.Listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	firstConn, firstReader := fake.acceptCall(ln, "CALL ab 3600000 0", "")
	fake.link.Call("cd", time.Hour, nil)
	secondConn, _ := fake.acceptCall(ln, "CALL cd 3600000 0", "")
	fmt.Fprint(firstConn, "ab BUSY\r\n")
	fake.runPosted()
	fmt.Fprint(secondConn, "cd BUSY\r\n")
	fake.runPosted()
	fake.link.Call("ef", time.Hour, nil)
	fake.expect(firstReader, "CALL ef 3600000 0", "")
}

// Calls beyond the connection limit must wait for an idle connection, in order.
func TestConnectionLimit(t *testing.T) {
	ln := loopback.Listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	var reader *bufio.Reader
	var conn net.Conn
	for i := range fake.link.maxConnections {
		fake.link.Call(fmt.Sprint("c", i), time.Hour, nil)
		conn, reader = fake.acceptCall(ln, fmt.Sprintf("CALL c%d 3600000 0", i), "")
	}
	fake.link.Call("gone", time.Hour, nil)
	fake.link.Call("next", time.Hour, nil)
	require.True(t, fake.link.Abandon("gone"))
	require.Zero(t, fake.link.dialer.inFlight)
	fmt.Fprint(conn, "c3 BUSY\r\n")
	fake.runPosted()
	fake.expect(reader, "CALL next 3600000 0", "")
}
