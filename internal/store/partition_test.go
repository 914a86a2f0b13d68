package store

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"falldeal/lab/fakes"

	"github.com/stretchr/testify/require"
)

// unresponsiveAddress is an address behind a cut.
func unresponsiveAddress(t *testing.T) string {
	unresponsive, err := fakes.NewMute()
	require.NoError(t, err)
	t.Cleanup(unresponsive.Close)
	return unresponsive.Addr
}

// A zone is cut off: dials hang. A call that was given up takes its dial along. Before that, dials for calls that
// were long over kept the places of those to come: these hung too, for as long as a dial may take.
func TestAbandonedCallCancelsItsDial(t *testing.T) {
	fake := newFakeLoop(t, unresponsiveAddress(t))
	for i := range 3 * cap(fake.link.dialRequests) {
		id := fmt.Sprint(i)
		fake.link.Call(id, fake.now+time.Second, nil)
		require.Len(t, fake.link.wantedDials, 1, "call %d", i) // its own
		fake.now += time.Second
		fake.deadlines.Sweep(fake.now)
		require.Equal(t, fmt.Sprintf("%d %d ", i, Expired), fake.outcomes[i])
		require.Empty(t, fake.link.wantedDials)
		require.Empty(t, fake.link.waiting)
		fake.runPosted() // the dial has ended, without a word on any call
		require.Zero(t, fake.link.dialsInFlight)
		require.Len(t, fake.outcomes, i+1)
	}
	require.Zero(t, fake.link.dialDelay) // nothing was refused, so the next dial is made at once
}

// The configuration moves the store in the middle of a cut. What waits for a connection to the old address gets
// one to the new, without waiting for the dials that hang.
func TestAddressChangeDuringPartition(t *testing.T) {
	fake := newFakeLoop(t, unresponsiveAddress(t))
	var calls []string
	for i := range cap(fake.link.dialRequests) { // as many dials as there may be
		calls = append(calls, fmt.Sprint(i))
		fake.link.Call(calls[i], time.Hour, nil)
	}
	fake.link.Call("more", time.Hour, nil) // has to wait for one of them
	require.Len(t, fake.link.wantedDials, cap(fake.link.dialRequests))
	next := listen(t)
	fake.link.SetAddress(next.Addr().String())
	for fake.link.dialsInFlight > 0 { // those that hung end, and new ones are made
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
		require.Equal(t, fmt.Sprintf("%s %d ", id, OK), fake.outcomes[0])
		fake.outcomes = nil
		if i == 0 { // the connection is used again for the one that had no place
			line, err = reader.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "CALL more ")
		}
		defer conn.Close()
	}
}
