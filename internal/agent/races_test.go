package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// remoteAgent is the agent's side of a Link, whose loop and clock are the test's.
type remoteAgent struct {
	*testing.T
	*Link
	listener       net.Listener
	posted         chan func()
	now            time.Duration
	lossesReported int
	notifications  []string
	conn           net.Conn
	lines          *bufio.Scanner
}

func newRemoteAgent(t *testing.T) *remoteAgent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	remote := &remoteAgent{T: t, listener: listener, posted: make(chan func(), 100)}
	log, _ := test.NewNullLogger()
	remote.Link = New(listener.Addr().String(), 1, func(do func()) { remote.posted <- do },
		func(n Notification) { remote.notifications = append(remote.notifications, string(n.Kind)+n.RequestID) }, logging.NewLimiter(log))
	remote.Watch(func() time.Duration { return remote.now }, func() { remote.lossesReported++ })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); listener.Close() })
	go func() { _ = remote.Link.Run(ctx) }()
	return remote
}

// accept takes the next link, once the loop knows of it, and its subscription.
func (f *remoteAgent) accept(offset int) {
	f.Helper()
	nc, err := f.listener.Accept()
	require.NoError(f, err)
	f.Cleanup(func() { nc.Close() })
	require.NoError(f, nc.SetDeadline(time.Now().Add(30*time.Second)))
	f.conn, f.lines = nc, bufio.NewScanner(nc)
	for opens := f.ConnectionsOpened(); f.ConnectionsOpened() == opens; {
		(<-f.posted)() // the end of the link before may come between
	}
	f.expect(fmt.Sprintf(`{"cmd":"subscribe","offset":%d}`, offset))
}

func (f *remoteAgent) expect(want string) {
	f.Helper()
	require.True(f, f.lines.Scan(), "%v", f.lines.Err())
	require.Equal(f, want, f.lines.Text())
}

// expectSample reads a sample and returns its token.
func (f *remoteAgent) expectSample() (token string) {
	f.Helper()
	require.True(f, f.lines.Scan(), "%v", f.lines.Err())
	_, err := fmt.Sscanf(f.lines.Text(), `{"cmd":"sample","token":%q}`, &token)
	require.NoError(f, err, f.lines.Text())
	return token
}

func (f *remoteAgent) send(format string, args ...any) {
	fmt.Fprintf(f.conn, format+"\n", args...)
	(<-f.posted)()
}

func (f *remoteAgent) sendSampled(token string) {
	f.send(`{"cmd":"sampled","token":%q,"load":[]}`, token)
}

func (f *remoteAgent) sendHandshake(ms int) {
	f.send(`{"cmd":"greeting","result":"steady","elapsed_ms":%d}`, ms)
}

// A link that is open and brings nothing is replaced, and what was to be run goes over the next one; one whose answers
// come is not, nor is one whose answers are only unread as the process stood still.
func TestSilenceRacesSample(t *testing.T) {
	for _, responsive := range []bool{true, false} {
		t.Run(fmt.Sprint("speaks: ", responsive), func(t *testing.T) {
			remote := newRemoteAgent(t)
			remote.accept(0)
			remote.now += handshakeTimeout - 1 // a booting agent may take its time
			remote.Check()
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
				remote.now += 100 * maxSilence // the process stands still; the answer to its one sample waits
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

// A link that was never greeted on leads nowhere, or the agent boots: after a while another is opened, and the agent greets
// on that. One that was greeted on at the last moment stays. The first link was never replaced.
func TestSilenceRacesFirstHandshake(t *testing.T) {
	for _, late := range []bool{false, true} {
		remote := newRemoteAgent(t)
		remote.accept(0)
		remote.now += handshakeTimeout - 1
		if late {
			remote.Check()
			remote.now++
			remote.Check()
			require.Nil(t, remote.current)
			remote.accept(0)
		}
		remote.sendHandshake(0)
		remote.now++
		remote.Check()
		require.NotNil(t, remote.current)
		remote.sendSampled(remote.expectSample())
		require.True(t, remote.synced)
	}
}

// The link breaks before or after it is known that the agent has read the reply to a call. A reply that was read is not
// sent again: it would answer the run's next call. Before, that was known at the next sweep only.
func TestDisconnectRacesReply(t *testing.T) {
	const reply = `{"cmd":"deliver","req":"a","payload":"eA=="}`
	for _, known := range []bool{true, false} {
		remote := newRemoteAgent(t)
		remote.accept(0)
		remote.sendHandshake(1)
		remote.sendSampled(remote.expectSample())
		remote.SampleGauges()
		earlier := remote.expectSample() // says nothing of what follows it
		remote.Reply("a", []byte("x"))
		remote.expect(reply)
		remote.sendSampled(earlier)
		token := remote.expectSample()
		if known {
			remote.sendSampled(token)
		}
		remote.conn.Close()
		remote.accept(0)
		remote.sendHandshake(1)
		remote.sendSampled(remote.expectSample())
		if !known {
			remote.expect(reply)
		}
		remote.Launch("b", "preview", nil)
		remote.expect(`{"cmd":"launch","req":"b","method":"preview","payload":""}`)
	}
	remote := newRemoteAgent(t) // nothing is under way: it is asked at once
	remote.accept(0)
	remote.sendHandshake(1)
	remote.sendSampled(remote.expectSample())
	remote.Reply("a", []byte("x"))
	remote.expect(reply)
	remote.sendSampled(remote.expectSample())
	require.Empty(t, remote.unacknowledged)
}

// More notices came during a break than the agent keeps: what became of runs in hand is told by nobody. With all of them,
// or some twice, nothing is lost.
func TestDisconnectRacesNotifications(t *testing.T) {
	for name, test := range map[string]struct {
		offsets []int
		lost    int
	}{"all": {[]int{3, 4}, 0}, "replayed": {[]int{1, 2, 3, 3, 4}, 0}, "over 4,000 late": {[]int{4, 5}, 1}, "none": {nil, 0}} {
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
			require.Zero(t, remote.lossesReported) // what has come may tell of the runs
			remote.sendSampled(token)
			require.Equal(t, test.lost, remote.lossesReported)
		})
	}
}

// An agent that greets again, older by as much as time has passed, is the same; one that is far younger has been started
// meanwhile and is asked for its notices from the first.
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
