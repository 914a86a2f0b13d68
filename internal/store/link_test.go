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
	l.link = New(addr, Loop{Post: func(f func()) { l.in <- f }, Now: func() time.Duration { return l.now }, Deadlines: l.due},
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

// A refused connection proves that no call ran; one that breaks meanwhile proves nothing.
func TestRefusedAndBroken(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	nc, err := ln.Accept()
	require.NoError(t, err)
	l.turn()
	in := bufio.NewReader(nc)
	line, err := in.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "CALL ab 3600000 0\r\n", line)
	ln.Close()
	nc.Close()
	l.turn()
	l.link.Call("cd", time.Hour, nil)
	l.turn()
	require.Equal(t, []string{fmt.Sprintf("ab %d ", Broken), fmt.Sprintf("cd %d ", Refused)}, l.ends)
}

// After the store has moved, new calls go to its new address, and one under way ends on the connection
// that it was made on, if that is soon.
func TestMove(t *testing.T) {
	old, next := listen(t), listen(t)
	l := newLoop(t, old.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	l.link.Call("cd", time.Hour, nil)
	was, err := old.Accept()
	require.NoError(t, err)
	l.turn()
	l.link.Move(next.Addr().String())
	l.link.Call("ef", time.Hour, nil)
	is, err := next.Accept()
	require.NoError(t, err)
	l.turn()
	line, err := bufio.NewReader(is).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "CALL ef 3600000 0\r\n", line)
	fmt.Fprint(was, "ab OK 1\r\nx\r\n")
	l.turn()
	l.now = Finish
	l.due.Sweep(l.now)
	l.turn() // the old connection has ended
	require.Equal(t, []string{fmt.Sprintf("ab %d x", OK), fmt.Sprintf("cd %d ", Broken)}, l.ends)
	require.EqualValues(t, 2, l.link.Opens())
}

// A dial to where the store no longer is proves nothing about the calls that wait for it.
func TestMoveDuringDial(t *testing.T) {
	old, next := listen(t), listen(t)
	old.Close()
	l := newLoop(t, old.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	l.link.Move(next.Addr().String())
	l.turn()
	require.Empty(t, l.ends)
	_, err := next.Accept()
	require.NoError(t, err)
	l.turn()
	require.EqualValues(t, 1, l.link.Opens())
}

// A call whose time is up is dropped at the store, a reply that crosses that is not taken for
// another's, and a connection that is idle is closed before the store's own close can cross a call.
func TestExpiryAndIdle(t *testing.T) {
	ln := listen(t)
	l := newLoop(t, ln.Addr().String())
	l.link.Call("ab", 100*time.Millisecond, []byte("x"))
	l.now = 40 * time.Millisecond // the way to the store counts
	nc, err := ln.Accept()
	require.NoError(t, err)
	l.turn()
	l.now = 100 * time.Millisecond
	l.due.Sweep(l.now)
	fmt.Fprint(nc, "ab OK 1\r\nx\r\n")
	l.turn()
	require.Equal(t, []string{fmt.Sprintf("ab %d ", Expired)}, l.ends)
	in := bufio.NewReader(nc)
	for _, want := range []string{"CALL ab 60 1\r\n", "x\r\n", "DROP ab\r\n"} {
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, want, line)
	}
	l.now += idleClose
	l.due.Sweep(l.now)
	_, err = in.ReadByte()
	require.Error(t, err)
	l.turn()
	l.link.Call("cd", l.now+time.Second, nil)
	again, err := ln.Accept()
	require.NoError(t, err)
	l.turn()
	fmt.Fprint(again, "no reply\r\n") // a bad line ends the connection, not the process
	l.turn()
	require.Equal(t, fmt.Sprintf("cd %d ", Broken), l.ends[1])
}
