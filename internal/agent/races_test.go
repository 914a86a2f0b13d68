package agent

import (
	"fmt"
	"testing"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// A silent open connection must be replaced, and commands must be sent on the next one. A connection must stay if its samples
// are answered, or if the answers are only unread because the process was stopped.
func TestSilenceRacesSample(t *testing.T) {
	for _, responsive := range []bool{true, false} {
		t.Run(fmt.Sprint("responsive: ", responsive), func(t *testing.T) {
			remote := newRemoteAgent(t)
			remote.accept(0)
			remote.now += handshakeTimeout - 1 // a booting agent may take this long
			remote.CheckLiveness()
			require.NotNil(t, remote.current)
			remote.sendHandshake(3600000)
			remote.sendSampled(remote.expectSample())
			remote.Launch("a", "preview", nil)
			remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
			for range minUnansweredSamples {
				remote.now += maxSilence
				if remote.SampleGauges(); responsive {
					remote.sendSampled(remote.expectSample())
				}
			}
			if responsive {
				require.NotNil(t, remote.current)
				remote.now += 100 * maxSilence // the process is stopped, and the answer to its only sample is unread
				remote.SampleGauges()
				require.NotNil(t, remote.current)
				return
			}
			require.Nil(t, remote.current)
			remote.accept(0)
			remote.sendHandshake(3600000)
			remote.sendSampled(remote.expectSample())
			remote.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
			remote.send(`{"cmd":"outcome","offset":1,"req":"a","result":"success"}`)
			require.Contains(t, remote.notifications, "outcomea")
			require.Zero(t, remote.lossesReported)
		})
	}
}

// No handshake arrives on a connection because it is broken or because the agent is still booting. At the timeout another
// connection must be opened, on which the agent can send its handshake. If the handshake arrives at the last moment, the
// connection must stay.
func TestSilenceRacesFirstHandshake(t *testing.T) {
	for _, late := range []bool{false, true} {
		remote := newRemoteAgent(t)
		remote.accept(0)
		remote.now += handshakeTimeout - 1
		if late {
			remote.CheckLiveness()
			remote.now++
			remote.CheckLiveness()
			require.Nil(t, remote.current)
			remote.accept(0)
		}
		remote.sendHandshake(0)
		remote.now++
		remote.CheckLiveness()
		require.NotNil(t, remote.current)
		remote.sendSampled(remote.expectSample())
		require.Equal(t, ready, remote.state())
	}
}

// The connection breaks before or after the Link knows that the agent has read the reply to a call. The reply must not be sent
// again in either case: the run may have come to its next call, which it would answer. It must be reported if that is not known.
func TestDisconnectRacesReply(t *testing.T) {
	for _, known := range []string{"", "by a sample", "by a notification"} {
		t.Run("known: "+known, func(t *testing.T) {
			remote := newRemoteAgent(t)
			remote.becomeReady()
			remote.Reply("a", []byte("x"))
			earlier := remote.expectSample() // sent before the reply, so its answer does not acknowledge the reply
			remote.sendSampled(earlier)
			remote.expect(`{"cmd":"deliver","req":"a","payload":"eA=="}`)
			token := remote.expectSample()
			if known == "by a sample" {
				remote.sendSampled(token)
			}
			remote.conn.Close()
			remote.accept(0)
			remote.sendHandshake(1)
			token = remote.expectSample()
			if known == "by a notification" {
				remote.send(`{"cmd":"request","offset":1,"req":"a"}`)
			}
			remote.sendSampled(token)
			remote.Launch("b", "preview", nil)
			remote.expect(`{"cmd":"launch","req":"b","method":"preview","payload":""}`)
			if known == "" {
				require.Equal(t, []string{"a"}, remote.unacknowledged)
			} else {
				require.Empty(t, remote.unacknowledged)
			}
			require.EqualValues(t, len(remote.unacknowledged), remote.RepliesUnacknowledged())
		})
	}
}

// Guards against replies that are lost unread with the commands before a break: no reply may be sent while the agent has not
// shown, by the answer to a sample, that it reads commands. Replies that wait for one answer are sent together, and the sample
// behind them lets the next ones be sent.
func TestReplyWaitsUntilAgentReads(t *testing.T) {
	remote := newRemoteAgent(t)
	remote.becomeReady()
	remote.SampleGauges() // is in flight when the replies arrive, so no further sample is needed
	inFlight := remote.expectSample()
	remote.Reply("a", nil)
	remote.Reply("b", nil)
	remote.Launch("c", "preview", nil) // other commands do not wait
	remote.expect(`{"cmd":"launch","req":"c","method":"preview","payload":""}`)
	remote.sendSampled(inFlight)
	remote.expect(`{"cmd":"deliver","req":"a","payload":""}`)
	remote.expect(`{"cmd":"deliver","req":"b","payload":""}`)
	following := remote.expectSample()
	remote.Reply("d", nil)
	remote.sendSampled(following)
	remote.expect(`{"cmd":"deliver","req":"d","payload":""}`)
	remote.sendSampled(remote.expectSample())
	require.Empty(t, remote.commands.unacknowledged)

	remote.Reply("e", nil)
	remote.expectSample() // the agent does not read it before the break
	remote.conn.Close()
	remote.accept(0)
	remote.sendHandshake(1)
	remote.sendSampled(remote.expectSample())
	remote.expect(`{"cmd":"deliver","req":"e","payload":""}`)
	require.Empty(t, remote.unacknowledged)
}

// A reply that was not sent yet when the connection broke was not read, so it must be sent on the next one, once, with a sample
// that acknowledges it.
func TestReplyDuringDisconnectionIsSentOnce(t *testing.T) {
	remote := newRemoteAgent(t)
	remote.becomeReady()
	remote.conn.Close()
	remote.runPosted() // the end of the connection
	remote.Reply("a", nil)
	remote.accept(0)
	remote.sendHandshake(1)
	remote.sendSampled(remote.expectSample())
	remote.expect(`{"cmd":"deliver","req":"a","payload":""}`)
	remote.expectSample()
	require.Empty(t, remote.unacknowledged)
	remote.conn.Close()
	remote.accept(0)
	remote.sendHandshake(1)
	remote.sendSampled(remote.expectSample())
	require.Equal(t, []string{"a"}, remote.unacknowledged)
	require.Empty(t, remote.commands.unacknowledged)
}

// Guards against requests that fail, or skip a call, only because SIGHUP has moved the agent: while a reply on the old
// connection may be acknowledged, the new one must not subscribe, since the agent then ends the old one. Later replies must wait
// for the new connection. If the old connection ends or falls silent, the new one must subscribe at once.
func TestAddressChangeWaitsForAcknowledgement(t *testing.T) {
	for _, end := range []string{"acknowledged", "closed", "silent"} {
		t.Run(end, func(t *testing.T) {
			remote := newRemoteAgent(t)
			remote.becomeReady()
			remote.Reply("a", nil)
			remote.sendSampled(remote.expectSample())
			remote.expect(`{"cmd":"deliver","req":"a","payload":""}`)
			token := remote.expectSample()
			remote.listener = loopback.Listen(t)
			remote.SetAddress(remote.listener.Addr().String())
			next := remote.acceptUnsubscribed()
			remote.Reply("b", nil)
			switch end {
			case "acknowledged":
				remote.sendSampled(token)
			case "closed":
				remote.conn.Close()
			case "silent":
				for range minUnansweredSamples {
					remote.now += maxSilence
					remote.SampleGauges()
				}
			}
			remote.runPosted() // the end of the old connection
			remote.use(next)
			remote.expect(`{"cmd":"subscribe","offset":0}`)
			remote.sendHandshake(1)
			remote.sendSampled(remote.expectSample())
			remote.expect(`{"cmd":"deliver","req":"b","payload":""}`)
			if end == "acknowledged" {
				require.Empty(t, remote.unacknowledged)
			} else {
				require.Equal(t, []string{"a"}, remote.unacknowledged)
			}
		})
	}
}

// After a disconnection, notifications may be missing because the agent keeps only the last 4,000. Then the outcomes of runs
// in flight are lost, which must be reported once. If all notifications arrive, or some arrive twice, nothing is lost.
func TestDisconnectRacesNotifications(t *testing.T) {
	for name, test := range map[string]struct {
		offsets []int
		lost    int
	}{"all": {[]int{3, 4}, 0}, "replayed": {[]int{1, 2, 3, 3, 4}, 0}, "gap": {[]int{4, 5}, 1}, "none": {nil, 0}} {
		t.Run(name, func(t *testing.T) {
			remote := newRemoteAgent(t)
			remote.accept(0)
			remote.sendHandshake(1)
			remote.sendSampled(remote.expectSample())
			remote.send(`{"cmd":"aside","offset":1}`)
			remote.send(`{"cmd":"aside","offset":2}`)
			remote.conn.Close()
			remote.accept(2)
			remote.sendHandshake(2)
			token := remote.expectSample()
			for _, offset := range test.offsets {
				remote.send(`{"cmd":"aside","offset":%d}`, offset)
			}
			require.Zero(t, remote.lossesReported) // the notifications so far may belong to runs in flight
			remote.sendSampled(token)
			require.Equal(t, test.lost, remote.lossesReported)
		})
	}
}

// An agent is the same if its next handshake reports an age that has grown with the time elapsed. A much younger agent was
// restarted: the loss must be reported once, and the Link must subscribe from the first notification.
func TestHandshakeOfRestartedAgent(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		remote := newRemoteAgent(t)
		remote.accept(0)
		remote.sendHandshake(3600000)
		remote.sendSampled(remote.expectSample())
		remote.send(`{"cmd":"aside","offset":1}`)
		remote.conn.Close()
		remote.accept(1)
		if !restarted {
			remote.sendHandshake(3600000)
			require.Zero(t, remote.lossesReported)
			continue
		}
		remote.sendHandshake(0)
		require.Equal(t, 1, remote.lossesReported)
		remote.accept(0)
		remote.sendHandshake(0)
		remote.sendSampled(remote.expectSample())
		remote.send(`{"cmd":"aside","offset":1}`)
		require.Equal(t, 1, remote.lossesReported)
	}
}
