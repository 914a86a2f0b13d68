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

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// fakeLoop runs what a Link posts, on the test's goroutine and with a clock of the test's.
type fakeLoop struct {
	*testing.T
	posted    chan func()
	now       time.Duration
	deadlines *deadline.Queue
	outcomes  []string
	link      *Link
}

func newFakeLoop(t *testing.T, addr string) *fakeLoop {
	fake := &fakeLoop{T: t, posted: make(chan func(), 10), deadlines: deadline.New()}
	log, _ := test.NewNullLogger()
	fake.link = New(addr, 4, 1, Loop{Post: func(f func()) { fake.posted <- f }, Now: func() time.Duration { return fake.now }, Deadlines: fake.deadlines},
		func(id string, r Reply, body []byte) {
			fake.outcomes = append(fake.outcomes, fmt.Sprintf("%s %d %s", id, r, body))
		},
		logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = fake.link.Run(ctx) }()
	return fake
}

func (l *fakeLoop) runPosted() { (<-l.posted)() }

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// acceptCall takes the connection that a call opens, and returns it once the call was read from it.
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

func (l *fakeLoop) expect(in *bufio.Reader, lines ...string) {
	l.Helper()
	for _, want := range lines {
		line, err := in.ReadString('\n')
		require.NoError(l, err)
		require.Equal(l, want+"\r\n", line)
	}
}

// expectClosed reads the end of a connection.
func (l *fakeLoop) expectClosed(in *bufio.Reader) {
	l.Helper()
	_, err := in.ReadByte()
	require.Error(l, err)
	l.runPosted()
}

// A refused connection proves that no call ran; one that breaks meanwhile proves nothing.
func TestConnectionRefusedAndBroken(t *testing.T) {
	ln := listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	conn, _ := fake.acceptCall(ln, "CALL ab 3600000 0", "")
	ln.Close()
	conn.Close()
	fake.runPosted()
	fake.link.Call("cd", time.Hour, nil)
	fake.runPosted()
	require.Equal(t, []string{fmt.Sprintf("ab %d ", ConnectionBroken), fmt.Sprintf("cd %d ", ConnectionRefused)}, fake.outcomes)
}

// After the store has moved, new calls go to its new address, and one under way ends on the connection
// that it was made on, if that is soon.
func TestAddressChange(t *testing.T) {
	old, next := listen(t), listen(t)
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
	fake.runPosted() // that connection has ended: the old address gets nothing new
	fake.now = drainTimeout
	fake.deadlines.Sweep(fake.now)
	fake.expectClosed(secondReader)
	require.Equal(t, []string{fmt.Sprintf("ab %d x", OK), fmt.Sprintf("cd %d ", ConnectionBroken)}, fake.outcomes)
	require.EqualValues(t, 3, fake.link.ConnectionsOpened())
}

// A dial to where the store no longer is proves nothing about the calls that wait for it.
func TestAddressChangeDuringDial(t *testing.T) {
	old, next := listen(t), listen(t)
	old.Close()
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

// A call whose time is up is dropped, and its connection with it: the reply may never come, or be taken
// for that of a later call.
func TestCallExpiry(t *testing.T) {
	ln := listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", 100*time.Millisecond, []byte("x"))
	fake.now = 40 * time.Millisecond // the way to the store counts
	conn, reader := fake.acceptCall(ln, "CALL ab 60 1", "x")
	fake.now = 100 * time.Millisecond
	fake.deadlines.Sweep(fake.now)
	require.Equal(t, []string{fmt.Sprintf("ab %d ", Expired)}, fake.outcomes)
	fmt.Fprint(conn, "ab OK 1\r\nx\r\n")
	fake.expect(reader, "DROP ab")
	fake.link.Call("ab", fake.now+time.Second, nil)
	for len(fake.link.connections) == 0 { // the end of the first connection may come between
		fake.runPosted()
	}
	require.Len(t, fake.outcomes, 1)
}

// A reply that can't be read costs the call that it was for, and no other that is under way.
func TestOneCallPerConnection(t *testing.T) {
	ln := listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	fake.link.Call("ab", time.Hour, nil)
	firstConn, _ := fake.acceptCall(ln, "CALL ab 3600000 0", "")
	fake.link.Call("cd", time.Hour, nil)
	secondConn, reader := fake.acceptCall(ln, "CALL cd 3600000 0", "")
	fmt.Fprint(firstConn, "ab OK 3000000000\r\n")
	fake.runPosted()
	fmt.Fprint(secondConn, "cd OK 1\r\nx\r\n")
	fake.runPosted()
	require.Equal(t, []string{fmt.Sprintf("ab %d ", ConnectionBroken), fmt.Sprintf("cd %d x", OK)}, fake.outcomes)
	fake.link.Call("ef", time.Hour, nil) // the connection is used again, as long as that is soon
	fake.expect(reader, "CALL ef 3600000 0", "")
	fmt.Fprint(secondConn, "ef BUSY\r\n")
	fake.runPosted()
	fake.now += idleTimeout
	fake.deadlines.Sweep(fake.now)
	fake.expectClosed(reader)
	require.Empty(t, fake.link.connections)
}

// Replies that nobody asked for end nothing, and no call is made any more on a connection that brought
// one. A second copy might be taken for the reply to its request's next call, so that goes elsewhere.
func TestUnsolicitedReplies(t *testing.T) {
	ln := listen(t)
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
	require.Equal(t, []string{fmt.Sprintf("ab %d x", OK), fmt.Sprintf("ab %d z", OK)}, fake.outcomes)
}

// A store that closes a connection behind its reply, or says more on it, shows that soon: the one that has
// been idle for longest is used first, and the one that just replied last.
func TestLongestIdleConnectionFirst(t *testing.T) {
	ln := listen(t)
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

// Calls past the number of connections wait for one to be free, in order.
func TestConnectionLimit(t *testing.T) {
	ln := listen(t)
	fake := newFakeLoop(t, ln.Addr().String())
	var reader *bufio.Reader
	var conn net.Conn
	for i := range cap(fake.link.dialRequests) {
		fake.link.Call(fmt.Sprint("c", i), time.Hour, nil)
		conn, reader = fake.acceptCall(ln, fmt.Sprintf("CALL c%d 3600000 0", i), "")
	}
	fake.link.Call("gone", time.Hour, nil)
	fake.link.Call("next", time.Hour, nil)
	require.True(t, fake.link.Abandon("gone"))
	require.Zero(t, fake.link.dialsInFlight)
	fmt.Fprint(conn, "c3 BUSY\r\n")
	fake.runPosted()
	fake.expect(reader, "CALL next 3600000 0", "")
}
