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

// unresponsiveAddress returns an address at which dials hang, as in a network partition.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	unresponsive, err := fakes.NewUnresponsiveListener()
	require.NoError(t, err)
	t.Cleanup(unresponsive.Close)
	return unresponsive.Addr
}

// In a partition dials hang. An abandoned call must cancel its dial. Otherwise dials of calls that ended long ago would take
// the places of those for later calls, which would then wait until the dial timeout.
func TestAbandonedCallCancelsItsDial(t *testing.T) {
	fake := newFakeLoop(t, unresponsiveAddress(t))
	for i := range 3 * fake.link.maxConnections {
		id := fmt.Sprint(i)
		fake.link.Call(id, fake.now+time.Second, nil)
		require.Len(t, fake.link.dialer.wanted, 1, "call %d", i) // the dial for this call
		fake.now += time.Second
		fake.deadlines.Sweep(fake.now)
		require.Equal(t, outcome(id, Expired, ""), fake.outcomes[i])
		require.Empty(t, fake.link.dialer.wanted)
		require.Empty(t, fake.link.waiting)
		fake.runPosted() // the end of the dial, which ends no call
		require.Zero(t, fake.link.dialer.inFlight)
		require.Len(t, fake.outcomes, i+1)
	}
	require.Zero(t, fake.link.dialer.delay) // no dial was refused, so the next one starts at once
}

// The store moves during a partition. Calls that wait for a connection to the old address must get one to the new address,
// without waiting for the dials that hang.
func TestAddressChangeDuringPartition(t *testing.T) {
	fake := newFakeLoop(t, unresponsiveAddress(t))
	var calls []string
	for i := range fake.link.maxConnections { // as many dials as are allowed
		calls = append(calls, fmt.Sprint(i))
		fake.link.Call(calls[i], time.Hour, nil)
	}
	fake.link.Call("more", time.Hour, nil) // waits for one of them
	require.Len(t, fake.link.dialer.wanted, fake.link.maxConnections)
	next := loopback.Listen(t)
	fake.link.SetAddress(next.Addr().String())
	for fake.link.dialer.inFlight > 0 { // the hanging dials end, and new ones complete
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
		_, err = reader.ReadString('\n') // the line end after the empty body
		require.NoError(t, err)
		fmt.Fprintf(conn, "%s OK 0\r\n\r\n", id)
		for len(fake.outcomes) == 0 {
			fake.runPosted()
		}
		require.Equal(t, outcome(id, OK, ""), fake.outcomes[0])
		fake.outcomes = nil
		if i == 0 { // the connection is reused for the call that had no dial
			line, err = reader.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, "CALL more ")
		}
		defer conn.Close()
	}
}
