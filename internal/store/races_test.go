package store

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rest is the store's side of a connection that waits for a call.
type rest struct {
	ln net.Listener
	nc net.Conn
	in *bufio.Reader
}

// free has one connection to the store that waits for a call, as its last one was answered.
func (l *loop) free() (far *rest) {
	ln := listen(l.T)
	l.link.SetAddress(ln.Addr().String())
	l.link.Call("ab", time.Hour, nil)
	nc, in := l.accept(ln, "CALL ab 3600000 0", "")
	fmt.Fprint(nc, "ab OK 1\r\nx\r\n")
	l.turn()
	return &rest{ln, nc, in}
}

// The store closes a connection that waits, and a call is made before or after that is seen here: on the closed one it may
// have run and is told as broken, once; seen in time, the call goes elsewhere.
func TestCloseAgainstACall(t *testing.T) {
	for _, seen := range []bool{true, false} {
		l := newLoop(t, "127.0.0.1:9")
		far := l.free()
		far.nc.Close()
		end := <-l.in // held until the call was made
		if seen {
			end()
		}
		l.link.Call("cd", time.Hour, nil)
		if !seen {
			end()
			require.Equal(t, []string{fmt.Sprintf("ab %d x", OK), fmt.Sprintf("cd %d ", ConnectionBroken)}, l.ends)
			l.link.Call("ef", time.Hour, nil)
			l.accept(far.ln, "CALL ef 3600000 0", "")
			continue
		}
		l.accept(far.ln, "CALL cd 3600000 0", "")
		require.Len(t, l.ends, 1)
	}
}

// A call is given up, or the store moves, while its reply is on the way, or after: the reply counts for that call or for
// none.
func TestDropAgainstAReply(t *testing.T) {
	for name, c := range map[string]struct {
		act   func(l *loop)
		first bool // before the reply is dealt with
		want  int  // ends told of the call
	}{
		"drop, reply": {func(l *loop) { l.link.Abandon("cd") }, true, 0},
		"reply, drop": {func(l *loop) { require.False(l, l.link.Abandon("cd")) }, false, 1},
		"move, reply": {func(l *loop) { l.link.SetAddress("127.0.0.1:10") }, true, 1},
		"reply, move": {func(l *loop) { l.link.SetAddress("127.0.0.1:10") }, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, word := range []string{"OK 1\r\ny", "BUSY", "VOID", "LATE", "ERR"} {
				l := newLoop(t, "127.0.0.1:9")
				far := l.free()
				l.link.Call("cd", time.Hour, nil)
				l.expect(far.in, "CALL cd 3600000 0", "")
				fmt.Fprintf(far.nc, "cd %s\r\n", word)
				reply := <-l.in // held
				if c.first {
					c.act(l)
				}
				reply()
				if !c.first {
					c.act(l)
				}
				require.Len(t, l.ends, 1+c.want, word)
				require.Zero(t, l.link.InFlight())
			}
		})
	}
}
