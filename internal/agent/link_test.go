package agent

import (
	"testing"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// An agent that has moved is reached at its new address while the old connection still serves. Runs go on over the new
// one from the last notification read, and what is not acknowledged is sent again.
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
	remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`) // on the old one, until the new one is open
	remote.accept(1)
	require.False(t, oldLines.Scan()) // the old one is closed
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

// A broken connection loses neither commands nor notifications: what the agent is not known to have read is sent again, but
// only once the missed notifications are in; those that were read before are dropped.
func TestReconnect(t *testing.T) {
	remote := newRemoteAgent(t)
	remote.Launch("a", "preview", nil) // the agent is not up yet
	remote.accept(0)
	require.ErrorIs(t, remote.DeepCheck("x"), ErrNotConnected)
	remote.send(`{"cmd":"greeting","result":"booting","elapsed_ms":1}`)
	remote.expect(`{"cmd":"sample","token":"2"}`)
	remote.sendSampled("2")
	remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	remote.SampleGauges()
	remote.expect(`{"cmd":"sample","token":"3"}`)
	remote.sendSampled("3") // so the launch was read
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
	remote.expect(`{"cmd":"sample","token":"7"}`)
	remote.sendSampled("7")
	remote.expect(`{"cmd":"launch","req":"c","method":"preview","payload":""}`)
	remote.expect(`{"cmd":"deliver","req":"b","payload":""}`)
	require.Equal(t, []string{"greeting", "sampled", "sampled", "requestb", "greeting", "outcomea", "sampled"},
		remote.notifications)
}
