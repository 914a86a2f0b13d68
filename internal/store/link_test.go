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

// loop runs what a Link posts, on the test's goroutine and with a clock of the test's.
type loop struct {
	*testing.T
	in   chan func()
	now  time.Duration
	due  *deadline.Queue
	ends []string
	link *Link
}

func newLoop(t *testing.T, addr string) *loop {
	l := &loop{T: t, in: make(chan func(), 10), due: deadline.New()}
	log, _ := test.NewNullLogger()
	l.link = New(addr, 4, 1, Loop{Post: func(f func()) { l.in <- f }, Now: func() time.Duration { return l.now }, Deadlines: l.due},
		func(id string, r Reply, body []byte) { l.ends = append(l.ends, fmt.Sprintf("%s %d %s", id, r, body)) },
		logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.link.Run(ctx) }()
	return l
}

func (l *loop) turn() { (<-l.in)() }

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// accept takes the connection that a call opens, and returns it once the call was read from it.
func (l *loop) accept(ln net.Listener, call string, body string) (net.Conn, *bufio.Reader) {
	l.Helper()
	nc, err := ln.Accept()
	require.NoError(l, err)
	l.Cleanup(func() { nc.Close() })
	l.turn()
	in := bufio.NewReader(nc)
	l.expect(in, call, body)
	return nc, in
}

func (l *loop) expect(in *bufio.Reader, lines ...string) {
	l.Helper()
	for _, want := range lines {
		line, err := in.ReadString('\n')
		require.NoError(l, err)
		require.Equal(l, want+"\r\n", line)
	}
}

// expectEnd reads the end of a connection.
func (l *loop) expectEnd(in *bufio.Reader) {
	l.Helper()
	_, err := in.ReadByte()
	require.Error(l, err)
	l.turn()
}

// A refused connection proves that no call ran; one that breaks meanwhile proves nothing.
func TestRefusedAndBroken(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	nc, _ := l.accept(ln, "CALL ab 3600000 0", "")
	ln.Close()
	nc.Close()
	l.turn()
	l.link.Call("cd", time.Hour, nil)
	l.turn()
	require.Equal(t, []string{fmt.Sprintf("ab %d ", ConnectionBroken), fmt.Sprintf("cd %d ", ConnectionRefused)}, l.ends)
}

// After the store has moved, new calls go to its new address, and one under way ends on the connection
// that it was made on, if that is soon.
func TestMove(t *testing.T) {
	old, next := listen(t), listen(t)
	l := newLoop(t, old.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	ab, _ := l.accept(old, "CALL ab 3600000 0", "")
	l.link.Call("cd", time.Hour, nil)
	_, cd := l.accept(old, "CALL cd 3600000 0", "")
	l.link.SetAddress(next.Addr().String())
	l.link.Call("ef", time.Hour, nil)
	l.accept(next, "CALL ef 3600000 0", "")
	fmt.Fprint(ab, "ab OK 1\r\nx\r\n")
	l.turn()
	l.turn() // that connection has ended: the old address gets nothing new
	l.now = finish
	l.due.Sweep(l.now)
	l.expectEnd(cd)
	require.Equal(t, []string{fmt.Sprintf("ab %d x", OK), fmt.Sprintf("cd %d ", ConnectionBroken)}, l.ends)
	require.EqualValues(t, 3, l.link.ConnectionsOpened())
}

// A dial to where the store no longer is proves nothing about the calls that wait for it.
func TestMoveDuringDial(t *testing.T) {
	old, next := listen(t), listen(t)
	old.Close()
	l := newLoop(t, old.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	l.link.SetAddress(next.Addr().String())
	l.turn()
	require.Empty(t, l.ends)
	_, err := next.Accept()
	require.NoError(t, err)
	l.turn()
	require.EqualValues(t, 1, l.link.ConnectionsOpened())
}

// A call whose time is up is dropped, and its connection with it: the reply may never come, or be taken
// for that of a later call.
func TestExpiry(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	l.link.Call("ab", 100*time.Millisecond, []byte("x"))
	l.now = 40 * time.Millisecond // the way to the store counts
	nc, in := l.accept(ln, "CALL ab 60 1", "x")
	l.now = 100 * time.Millisecond
	l.due.Sweep(l.now)
	require.Equal(t, []string{fmt.Sprintf("ab %d ", Expired)}, l.ends)
	fmt.Fprint(nc, "ab OK 1\r\nx\r\n")
	l.expect(in, "DROP ab")
	l.link.Call("ab", l.now+time.Second, nil)
	for len(l.link.conns) == 0 { // the end of the first connection may come between
		l.turn()
	}
	require.Len(t, l.ends, 1)
}

// A reply that can't be read costs the call that it was for, and no other that is under way.
func TestOneCallAConnection(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	ab, _ := l.accept(ln, "CALL ab 3600000 0", "")
	l.link.Call("cd", time.Hour, nil)
	cd, in := l.accept(ln, "CALL cd 3600000 0", "")
	fmt.Fprint(ab, "ab OK 3000000000\r\n")
	l.turn()
	fmt.Fprint(cd, "cd OK 1\r\nx\r\n")
	l.turn()
	require.Equal(t, []string{fmt.Sprintf("ab %d ", ConnectionBroken), fmt.Sprintf("cd %d x", OK)}, l.ends)
	l.link.Call("ef", time.Hour, nil) // the connection is used again, as long as that is soon
	l.expect(in, "CALL ef 3600000 0", "")
	fmt.Fprint(cd, "ef BUSY\r\n")
	l.turn()
	l.now += reuseWithin
	l.due.Sweep(l.now)
	l.expectEnd(in)
	require.Empty(t, l.link.conns)
}

// Replies that nobody asked for end nothing, and no call is made any more on a connection that brought
// one. A second copy might be taken for the reply to its request's next call, so that goes elsewhere.
func TestUnaskedReplies(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	first, in := l.accept(ln, "CALL ab 3600000 0", "")
	fmt.Fprint(first, "ab OK 1\r\nx\r\n")
	l.turn()
	l.link.Call("ab", time.Hour, nil)
	second, ahead := l.accept(ln, "CALL ab 3600000 0", "")
	fmt.Fprint(first, "ab OK 1\r\nx\r\n")
	l.turn()
	l.expectEnd(in)
	fmt.Fprint(second, "ff OK 1\r\ny\r\n")
	l.turn()
	fmt.Fprint(second, "ab OK 1\r\nz\r\n")
	l.turn()
	l.expectEnd(ahead)
	require.Equal(t, []string{fmt.Sprintf("ab %d x", OK), fmt.Sprintf("ab %d z", OK)}, l.ends)
}

// A store that closes a connection behind its reply, or says more on it, shows that soon: the one that has
// been idle for longest is used first, and the one that just replied last.
func TestLongestIdleFirst(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	ab, first := l.accept(ln, "CALL ab 3600000 0", "")
	l.link.Call("cd", time.Hour, nil)
	cd, _ := l.accept(ln, "CALL cd 3600000 0", "")
	fmt.Fprint(ab, "ab BUSY\r\n")
	l.turn()
	fmt.Fprint(cd, "cd BUSY\r\n")
	l.turn()
	l.link.Call("ef", time.Hour, nil)
	l.expect(first, "CALL ef 3600000 0", "")
}

// Calls past the number of connections wait for one to be free, in order.
func TestMostConnections(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	var in *bufio.Reader
	var nc net.Conn
	for i := range cap(l.link.dials) {
		l.link.Call(fmt.Sprint("c", i), time.Hour, nil)
		nc, in = l.accept(ln, fmt.Sprintf("CALL c%d 3600000 0", i), "")
	}
	l.link.Call("gone", time.Hour, nil)
	l.link.Call("next", time.Hour, nil)
	require.True(t, l.link.Abandon("gone"))
	require.Zero(t, l.link.dialing)
	fmt.Fprint(nc, "c3 BUSY\r\n")
	l.turn()
	l.expect(in, "CALL next 3600000 0", "")
}
