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

// far is the agent's side of a Link, whose loop and clock are the test's.
type far struct {
	*testing.T
	*Link
	ln    net.Listener
	in    chan func()
	at    time.Duration
	lost  int
	seen  []string
	nc    net.Conn
	lines *bufio.Scanner
}

func newFar(t *testing.T) *far {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &far{T: t, ln: ln, in: make(chan func(), 100)}
	log, _ := test.NewNullLogger()
	f.Link = New(ln.Addr().String(), 1, func(do func()) { f.in <- do },
		func(n Notification) { f.seen = append(f.seen, string(n.Kind)+n.RequestID) }, logging.NewLimiter(log))
	f.Watch(func() time.Duration { return f.at }, func() { f.lost++ })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); ln.Close() })
	go func() { _ = f.Link.Run(ctx) }()
	return f
}

// accept takes the next link, once the loop knows of it, and its subscription.
func (f *far) accept(offset int) {
	f.Helper()
	nc, err := f.ln.Accept()
	require.NoError(f, err)
	f.Cleanup(func() { nc.Close() })
	require.NoError(f, nc.SetDeadline(time.Now().Add(30*time.Second)))
	f.nc, f.lines = nc, bufio.NewScanner(nc)
	for opens := f.ConnectionsOpened(); f.ConnectionsOpened() == opens; {
		(<-f.in)() // the end of the link before may come between
	}
	f.expect(fmt.Sprintf(`{"cmd":"subscribe","offset":%d}`, offset))
}

func (f *far) expect(want string) {
	f.Helper()
	require.True(f, f.lines.Scan(), "%v", f.lines.Err())
	require.Equal(f, want, f.lines.Text())
}

// expectSample reads a sample and returns its token.
func (f *far) expectSample() (token string) {
	f.Helper()
	require.True(f, f.lines.Scan(), "%v", f.lines.Err())
	_, err := fmt.Sscanf(f.lines.Text(), `{"cmd":"sample","token":%q}`, &token)
	require.NoError(f, err, f.lines.Text())
	return token
}

func (f *far) tell(format string, args ...any) {
	fmt.Fprintf(f.nc, format+"\n", args...)
	(<-f.in)()
}

func (f *far) sampled(token string) { f.tell(`{"cmd":"sampled","token":%q,"load":[]}`, token) }

func (f *far) greetNow(ms int) {
	f.tell(`{"cmd":"greeting","result":"steady","elapsed_ms":%d}`, ms)
}

// A link that is open and brings nothing is replaced, and what was to be run goes over the next one; one whose answers
// come is not, nor is one whose answers are only unread as the process stood still.
func TestSilenceAgainstASample(t *testing.T) {
	for _, speaks := range []bool{true, false} {
		t.Run(fmt.Sprint("speaks: ", speaks), func(t *testing.T) {
			f := newFar(t)
			f.accept(0)
			f.at += greetMost - 1 // a booting agent may take its time
			f.Check()
			require.NotNil(t, f.cur)
			f.greetNow(3600000)
			f.sampled(f.expectSample())
			f.Launch("a", "preview", nil)
			f.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
			for range silentAsked {
				f.at += silentMost
				if f.SampleGauges(); speaks {
					f.sampled(f.expectSample())
				}
			}
			if speaks {
				require.NotNil(t, f.cur)
				f.at += 100 * silentMost // the process stands still; the answer to its one sample waits
				f.SampleGauges()
				require.NotNil(t, f.cur)
				return
			}
			require.Nil(t, f.cur)
			f.accept(0)
			f.greetNow(3600000)
			f.sampled(f.expectSample())
			f.expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
			f.tell(`{"cmd":"outcome","offset":1,"req":"a","result":"success"}`)
			require.Contains(t, f.seen, "outcomea")
			require.Zero(t, f.lost)
		})
	}
}

// A link that was never greeted on leads nowhere, or the agent boots: after a while another is opened, and the agent greets
// on that. One that was greeted on at the last moment stays. The first link was never replaced.
func TestSilenceAgainstTheFirstGreeting(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newFar(t)
		f.accept(0)
		f.at += greetMost - 1
		if late {
			f.Check()
			f.at++
			f.Check()
			require.Nil(t, f.cur)
			f.accept(0)
		}
		f.greetNow(0)
		f.at++
		f.Check()
		require.NotNil(t, f.cur)
		f.sampled(f.expectSample())
		require.True(t, f.synced)
	}
}

// The link breaks before or after it is known that the agent has read the reply to a call. A reply that was read is not
// sent again: it would answer the run's next call. Before, that was known at the next sweep only.
func TestBreakAgainstADelivery(t *testing.T) {
	const reply = `{"cmd":"deliver","req":"a","payload":"eA=="}`
	for _, known := range []bool{true, false} {
		f := newFar(t)
		f.accept(0)
		f.greetNow(1)
		f.sampled(f.expectSample())
		f.SampleGauges()
		earlier := f.expectSample() // says nothing of what follows it
		f.Reply("a", []byte("x"))
		f.expect(reply)
		f.sampled(earlier)
		token := f.expectSample()
		if known {
			f.sampled(token)
		}
		f.nc.Close()
		f.accept(0)
		f.greetNow(1)
		f.sampled(f.expectSample())
		if !known {
			f.expect(reply)
		}
		f.Launch("b", "preview", nil)
		f.expect(`{"cmd":"launch","req":"b","method":"preview","payload":""}`)
	}
	f := newFar(t) // nothing is under way: it is asked at once
	f.accept(0)
	f.greetNow(1)
	f.sampled(f.expectSample())
	f.Reply("a", []byte("x"))
	f.expect(reply)
	f.sampled(f.expectSample())
	require.Empty(t, f.unread)
}

// More notices came during a break than the agent keeps: what became of runs in hand is told by nobody. With all of them,
// or some twice, nothing is lost.
func TestBreakAgainstNotices(t *testing.T) {
	for name, c := range map[string]struct {
		offsets []int
		lost    int
	}{"all": {[]int{3, 4}, 0}, "replayed": {[]int{1, 2, 3, 3, 4}, 0}, "over 4,000 late": {[]int{4, 5}, 1}, "none": {nil, 0}} {
		t.Run(name, func(t *testing.T) {
			f := newFar(t)
			f.accept(0)
			f.greetNow(1)
			f.sampled(f.expectSample())
			f.tell(`{"cmd":"aside","offset":1}`)
			f.tell(`{"cmd":"aside","offset":2}`)
			f.nc.Close()
			f.accept(2)
			f.greetNow(2)
			token := f.expectSample()
			for _, offset := range c.offsets {
				f.tell(`{"cmd":"aside","offset":%d}`, offset)
			}
			require.Zero(t, f.lost) // what has come may tell of the runs
			f.sampled(token)
			require.Equal(t, c.lost, f.lost)
		})
	}
}

// An agent that greets again, older by as much as time has passed, is the same; one that is far younger has been started
// meanwhile and is asked for its notices from the first.
func TestGreetingOfAnother(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newFar(t)
		f.accept(0)
		f.greetNow(3600000)
		f.sampled(f.expectSample())
		f.tell(`{"cmd":"aside","offset":1}`)
		f.nc.Close()
		f.accept(1)
		if !restarted {
			f.greetNow(3600000)
			require.Zero(t, f.lost)
			continue
		}
		f.greetNow(0)
		require.Equal(t, 1, f.lost)
		f.accept(0)
		f.greetNow(0)
		f.sampled(f.expectSample())
		f.tell(`{"cmd":"aside","offset":1}`)
		require.Equal(t, 1, f.lost)
	}
}
