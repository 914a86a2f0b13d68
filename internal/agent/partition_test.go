package agent

import (
	"fmt"
	"testing"

	"falldeal/lab/fakes"
	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// The agent moves during a partition while a dial to the old address hangs. The Link must not wait for that dial. Commands
// issued before the move must be sent once to the new address. Notifications that arrive in one burst, one of them twice, must
// each be handled once.
func TestAddressChangeDuringPartition(t *testing.T) {
	unresponsive, err := fakes.NewUnresponsiveListener()
	require.NoError(t, err)
	t.Cleanup(unresponsive.Close)
	remote := newRemoteAgentAt(t, unresponsive.Addr, loopback.Listen(t))
	remote.Launch("a", "preview", nil)
	remote.Launch("b", "preview", nil)
	remote.SetAddress(remote.listener.Addr().String())
	remote.accept(0)
	remote.sendHandshake(1)
	remote.sendSampled(remote.expectSample())
	remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	remote.expect(`{"cmd":"launch","req":"b","method":"preview","payload":""}`)
	// All in one write, and one of them twice.
	_, err = fmt.Fprint(remote.conn, `{"cmd":"outcome","offset":1,"req":"a","result":"success"}`+"\n"+
		`{"cmd":"outcome","offset":2,"req":"b","result":"success"}`+"\n"+
		`{"cmd":"outcome","offset":1,"req":"a","result":"success"}`+"\n"+`{"cmd":"aside","offset":3}`+"\n")
	require.NoError(t, err)
	for range 4 {
		remote.runPosted()
	}
	require.Equal(t, []string{"greeting", "sampled", "outcomea", "outcomeb", "aside"}, remote.notifications)
	require.Empty(t, remote.commands.unacknowledged)
}
