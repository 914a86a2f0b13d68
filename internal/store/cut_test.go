package store

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"falldeal/lab/fakes"

	"github.com/stretchr/testify/require"
)

// mute is an address behind a cut.
func mute(t *testing.T) string {
	m, err := fakes.NewUnresponsiveListener()
	require.NoError(t, err)
	t.Cleanup(m.Close)
	return m.Addr
}

// A zone is cut off: dials hang. A call that was given up takes its dial along. Before that, dials for calls that
// were long over kept the places of those to come: these hung too, for as long as a dial may take.
func TestCutStore(t *testing.T) {
	l := newLoop(t, mute(t))
	for i := range 3 * cap(l.link.dials) {
		id := fmt.Sprint(i)
		l.link.Call(id, l.now+time.Second, nil)
		require.Len(t, l.link.dialled, 1, "call %d", i) // its own
		l.now += time.Second
		l.due.Sweep(l.now)
		require.Equal(t, fmt.Sprintf("%d %d ", i, Expired), l.ends[i])
		require.Empty(t, l.link.dialled)
		require.Empty(t, l.link.waiting)
		l.turn() // the dial has ended, without a word on any call
		require.Zero(t, l.link.dialing)
		require.Len(t, l.ends, i+1)
	}
	require.Zero(t, l.link.wait) // nothing was refused, so the next dial is made at once
}

// The configuration moves the store in the middle of a cut. What waits for a connection to the old address gets
// one to the new, without waiting for the dials that hang.
func TestMoveOutOfACut(t *testing.T) {
	l := newLoop(t, mute(t))
	var calls []string
	for i := range cap(l.link.dials) { // as many dials as there may be
		calls = append(calls, fmt.Sprint(i))
		l.link.Call(calls[i], time.Hour, nil)
	}
	l.link.Call("more", time.Hour, nil) // has to wait for one of them
	require.Len(t, l.link.dialled, cap(l.link.dials))
	next := listen(t)
	l.link.SetAddress(next.Addr().String())
	for l.link.dialing > 0 { // those that hung end, and new ones are made
		l.turn()
	}
	for i := range calls {
		nc, err := next.Accept()
		require.NoError(t, err)
		require.NoError(t, nc.SetDeadline(time.Now().Add(30*time.Second)))
		in := bufio.NewReader(nc)
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		var id string
		var wait, length int
		_, err = fmt.Sscanf(line, "CALL %s %d %d\r\n", &id, &wait, &length)
		require.NoError(t, err)
		_, err = in.ReadString('\n') // the end of its empty body
		require.NoError(t, err)
		fmt.Fprintf(nc, "%s OK 0\r\n\r\n", id)
		for len(l.ends) == 0 {
			l.turn()
		}
		require.Equal(t, fmt.Sprintf("%s %d ", id, OK), l.ends[0])
		l.ends = nil
		if i == 0 { // the connection is used again for the one that had no place
			line, err = in.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "CALL more ")
		}
		defer nc.Close()
	}
}
