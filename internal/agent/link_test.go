package agent

import (
	"testing"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// The agent moves to another address while the old connection still works. The old connection must be used until the new
// one is open. The new one must subscribe from the last notification read, and unacknowledged commands must be sent again.
func TestAddressChange(t *testing.T) {
	remote := newRemoteAgent(t)
	remote.accept(0)
	remote.sendHandshake(1)
	remote.expect(`{"cmd":"sample","token":"1"}`)
	remote.sendSampled("1")
	remote.send(`{"cmd":"aside","offset":1}`)
	oldLines := remote.lines
	remote.listener = loopback.Listen(t)
	remote.SetAddress(remote.listener.Addr().String())
	remote.Launch("a", "preview", nil)
	remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`) // on the old connection, until the new one is open
	remote.accept(1)
	require.False(t, oldLines.Scan()) // the old connection is closed
	require.NoError(t, oldLines.Err())
	remote.runPosted()
	remote.sendHandshake(9)
	remote.expect(`{"cmd":"sample","token":"3"}`)
	remote.sendSampled("3")
	remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	remote.send(`{"cmd":"outcome","offset":2,"req":"a","result":"success"}`)
	require.Equal(t, []string{"greeting", "sampled", "aside", "greeting", "sampled", "outcomea"}, remote.notifications)
	require.EqualValues(t, 2, remote.ConnectionsOpened())
}

// A connection breaks. Commands that the agent is not known to have read must be sent again, but only after the missed
// notifications have arrived. Notifications that were read before must be dropped.
func TestReconnectLosesNothing(t *testing.T) {
	remote := newRemoteAgent(t)
	remote.Launch("a", "preview", nil) // before the agent accepts connections
	remote.accept(0)
	require.ErrorIs(t, remote.DeepCheck("x"), ErrNotConnected)
	remote.send(`{"cmd":"greeting","result":"booting","elapsed_ms":1}`)
	remote.sendSampled(remote.expectSample())
	remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	remote.sendSampled(remote.expectSample()) // proves that the launch was read
	require.Empty(t, remote.commands.unacknowledged)
	remote.Launch("b", "preview", nil)
	remote.Launch("c", "preview", nil)
	remote.send(`{"cmd":"request","offset":1,"req":"b"}`)
	remote.send(`not a notification`) // ends the connection
	remote.Reply("b", nil)

	remote.accept(1)
	remote.sendHandshake(9)
	remote.send(`{"cmd":"request","offset":1,"req":"b"}`)
	remote.send(`{"cmd":"outcome","offset":2,"req":"a","result":"success"}`)
	remote.sendSampled(remote.expectSample())
	remote.expect(`{"cmd":"launch","req":"c","method":"preview","payload":""}`)
	remote.expect(`{"cmd":"deliver","req":"b","payload":""}`)
	require.Equal(t, []string{"greeting", "sampled", "sampled", "requestb", "greeting", "outcomea", "sampled"},
		remote.notifications)
}
