package store

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"falldeal/lab/fakes"
	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// unresponsiveAddress returns an address on which dials hang, as in a partition.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	unresponsive, err := fakes.NewUnresponsiveListener()
	require.NoError(t, err)
	t.Cleanup(unresponsive.Close)
	return unresponsive.Addr
}

// In a partition dials hang. A call that is abandoned cancels its dial: dials for calls that were long over would take the
// places of those to come, which would then hang too for as long as a dial may take.
func TestAbandonedCallCancelsItsDial(t *testing.T) {
	fake := newFakeLoop(t, unresponsiveAddress(t))
	for i := range 3 * fake.link.maxConnections {
		id := fmt.Sprint(i)
		fake.link.Call(id, fake.now+time.Second, nil)
		require.Len(t, fake.link.dialer.wanted, 1, "call %d", i) // its own
		fake.now += time.Second
		fake.deadlines.Sweep(fake.now)
		require.Equal(t, outcome(id, Expired, ""), fake.outcomes[i])
		require.Empty(t, fake.link.dialer.wanted)
		require.Empty(t, fake.link.waiting)
		fake.runPosted() // the dial has ended, which ends no call
		require.Zero(t, fake.link.dialer.inFlight)
		require.Len(t, fake.outcomes, i+1)
	}
	require.Zero(t, fake.link.dialer.delay) // nothing was refused, so the next dial is made at once
}

// The store moves during a partition. Calls that wait for a connection to the old address get one to the new, without
// waiting for the dials that hang.
func TestAddressChangeDuringPartition(t *testing.T) {
	fake := newFakeLoop(t, unresponsiveAddress(t))
	var calls []string
	for i := range fake.link.maxConnections { // as many dials as there may be
		calls = append(calls, fmt.Sprint(i))
		fake.link.Call(calls[i], time.Hour, nil)
	}
	fake.link.Call("more", time.Hour, nil) // has to wait for one of them
	require.Len(t, fake.link.dialer.wanted, fake.link.maxConnections)
	next := loopback.Listen(t)
	fake.link.SetAddress(next.Addr().String())
	for fake.link.dialer.inFlight > 0 { // those that hung end, and new ones are made
		fake.runPosted()
	}
	for i := range calls {
		conn, err := next.Accept()
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
		reader := bufio.NewReader(conn)
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		var id string
		var wait, length int
		_, err = fmt.Sscanf(line, "CALL %s %d %d\r\n", &id, &wait, &length)
		require.NoError(t, err)
		_, err = reader.ReadString('\n') // the end of its empty body
		require.NoError(t, err)
		fmt.Fprintf(conn, "%s OK 0\r\n\r\n", id)
		for len(fake.outcomes) == 0 {
			fake.runPosted()
		}
		require.Equal(t, outcome(id, OK, ""), fake.outcomes[0])
		fake.outcomes = nil
		if i == 0 { // the connection is used again for the one that had no place
			line, err = reader.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "CALL more ")
		}
		defer conn.Close()
	}
}
