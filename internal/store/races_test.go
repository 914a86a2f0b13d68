package store

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// idleRemote is the store's side of an idle connection.
type idleRemote struct {
	listener net.Listener
	conn     net.Conn
	reader   *bufio.Reader
}

// idleConnection opens a connection that is idle because its call was answered.
func (l *fakeLoop) idleConnection() (remote *idleRemote) {
	listener := loopback.Listen(l.T)
	l.link.SetAddress(listener.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	conn, reader := l.acceptCall(listener, "CALL ab 3600000 0", "")
	fmt.Fprint(conn, "ab OK 1\r\nx\r\n")
	l.runPosted()
	return &idleRemote{listener, conn, reader}
}

// The store closes an idle connection, and a call is made before or after the Link observes that. On the closed connection
// the call may have run, so it must be reported as broken, once. If the close was observed, the call must go to another
// connection.
func TestCloseRacesCall(t *testing.T) {
	for _, observed := range []bool{true, false} {
		fake := newFakeLoop(t, "127.0.0.1:9")
		remote := fake.idleConnection()
		remote.conn.Close()
		handleClosed := <-fake.posted // runs after the call was made, unless observed
		if observed {
			handleClosed()
		}
		fake.link.Call("cd", time.Hour, nil)
		if !observed {
			handleClosed()
			require.Equal(t, []string{outcome("ab", OK, "x"), outcome("cd", ConnectionBroken, "")}, fake.outcomes)
			fake.link.Call("ef", time.Hour, nil)
			fake.acceptCall(remote.listener, "CALL ef 3600000 0", "")
			continue
		}
		fake.acceptCall(remote.listener, "CALL cd 3600000 0", "")
		require.Len(t, fake.outcomes, 1)
	}
}

// Guards against a run that gets the reply to its earlier call: the store sends that reply a second time, late, on a connection
// that has carried other calls since. A later call of the same request must not go to a connection that has answered an earlier
// one, whether it is idle or becomes free while the call waits.
func TestLateDuplicateReplyAnswersNoLaterCall(t *testing.T) {
	for _, state := range []string{"idle", "busy"} {
		t.Run(state, func(t *testing.T) {
			fake := newFakeLoop(t, "127.0.0.1:9")
			remote := fake.idleConnection() // has answered a call of ab
			fake.link.Call("cd", time.Hour, nil)
			fake.expect(remote.reader, "CALL cd 3600000 0", "")
			if state == "busy" {
				fake.link.Call("ab", time.Hour, nil)
			}
			fmt.Fprint(remote.conn, "cd OK 1\r\ny\r\n")
			fake.runUntilOutcomes(2)
			if state == "idle" {
				fake.link.Call("ab", time.Hour, nil)
			}
			fmt.Fprint(remote.conn, "ab OK 1\r\nx\r\n") // the duplicate
			fake.runPosted()
			require.Equal(t, []string{outcome("ab", OK, "x"), outcome("cd", OK, "y")}, fake.outcomes)
			require.Equal(t, 1, fake.link.InFlight())
		})
	}
}

// Guards against a call that waits for ever: at the limit on connections, where the only idle one has answered an earlier call
// of the same request, that one must be closed, so that another can be opened for the call.
func TestCallReplacesConnectionThatItMayNotUse(t *testing.T) {
	fake := newFakeLoop(t, "127.0.0.1:9")
	fake.link.maxConnections = 1
	remote := fake.idleConnection() // has answered a call of ab
	fake.link.Call("ab", time.Hour, nil)
	_, err := remote.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	conn, err := remote.listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	for len(fake.link.connections) == 0 { // the end of the first connection may be posted before
		fake.runPosted()
	}
	fake.expect(bufio.NewReader(conn), "CALL ab 3600000 0", "")
}

// Guards against unbounded memory: a connection remembers the requests that it has answered, so it must be closed after
// maxCallsPerConnection calls.
func TestConnectionEndsAfterMaxCalls(t *testing.T) {
	fake := newFakeLoop(t, "127.0.0.1:9")
	remote := fake.idleConnection()
	for i := range maxCallsPerConnection - 1 {
		id := fmt.Sprintf("%x", i)
		fake.link.Call(id, time.Hour, nil)
		fake.expect(remote.reader, "CALL "+id+" 3600000 0", "")
		fmt.Fprintf(remote.conn, "%s OK 1\r\ny\r\n", id)
		fake.runUntilOutcomes(i + 2)
	}
	fake.expectClosed(remote.reader)
	require.Empty(t, fake.link.connections)
}

// A call is abandoned, or the store moves, before or after the reply is handled. The reply must be reported as the result of
// that call, or not at all if the call was abandoned before.
func TestAbandonRacesReply(t *testing.T) {
	for name, test := range map[string]struct {
		act   func(fake *fakeLoop)
		first bool // before the reply is handled
		want  int  // results reported for the call
	}{
		"drop, reply": {func(fake *fakeLoop) { fake.link.Abandon("cd") }, true, 0},
		"reply, drop": {func(fake *fakeLoop) { require.False(fake, fake.link.Abandon("cd")) }, false, 1},
		"move, reply": {func(fake *fakeLoop) { fake.link.SetAddress("127.0.0.1:10") }, true, 1},
		"reply, move": {func(fake *fakeLoop) { fake.link.SetAddress("127.0.0.1:10") }, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, status := range []string{"OK 1\r\ny", "BUSY", "VOID", "LATE", "ERR"} {
				fake := newFakeLoop(t, "127.0.0.1:9")
				remote := fake.idleConnection()
				fake.link.Call("cd", time.Hour, nil)
				fake.expect(remote.reader, "CALL cd 3600000 0", "")
				fmt.Fprintf(remote.conn, "cd %s\r\n", status)
				reply := <-fake.posted // runs before or after act
				if test.first {
					test.act(fake)
				}
				reply()
				if !test.first {
					test.act(fake)
				}
				require.Len(t, fake.outcomes, 1+test.want, status)
				require.Zero(t, fake.link.InFlight())
			}
		})
	}
}
