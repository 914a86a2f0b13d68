package msgpackrpc

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/logging"
	"falldeal/internal/server"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Events that cross, each in both orders; docs/races.md lists them. A step of a stand-in is held until the other
// event is known to have happened, so that no test goes by luck.

// never has no connection told to go for being idle, however slow the machine is.
var never = []string{`"IdleUs": 30000000`, `"IdleUs": 0`}

func appendCancel(call uint32) []byte {
	b := appendText(append(appendArray(nil, 3), kindNotification), methodCancel)
	return appendUint(appendArray(b, 1), call)
}

// What can't be read, or does not end, costs its own connection; what was read from that before is still answered. The
// connection was closed at once: a request that had been read was lost, and unread bytes took along answers that had
// been written.
func TestBrokenFrameAgainstAnAnswer(t *testing.T) {
	t.Parallel()
	garbage := bytes.Repeat([]byte{0xc1}, 100<<10)
	for name, broken := range map[string]func(f *front) []byte{
		"garbage":     func(*front) []byte { return garbage },
		"half frame":  func(f *front) []byte { _, b := f.try("preview", "half"); return b[:len(b)-1] },
		"same number": func(f *front) []byte { f.next = 0; _, b := f.try("preview", "twice"); return b },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := start(t, never...)
			f := p.dial()
			run := f.send("preview", "x")
			p.expect("launch", run)
			f.write(broken(f))
			if name != "half frame" { // nothing after it is taken, but for what makes it whole
				f.write(appendProbe(7, nil))
			}
			p.quiet() // the server has long had it
			p.tell("outcome", run, "success", []byte("x"))
			f.expectAnswer(1, "x")
			f.expectEnd()
		})
		if name == "same number" {
			continue // with the first answered, the number is free
		}
		t.Run(name+" after the answer", func(t *testing.T) {
			t.Parallel()
			p := start(t, never...)
			f := p.dial()
			run := f.send("preview", "x")
			p.expect("launch", run)
			p.tell("outcome", run, "success", []byte("x"))
			f.expectAnswer(1, "x")
			f.write(broken(f))
			f.expectEnd()
		})
	}
}

// A try comes again, as it was sent or on another connection, before or after its answer: it is run once and answered once.
// After the answer it was taken for a new one, run and answered a second time.
func TestTryThatComesAgainAgainstItsAnswer(t *testing.T) {
	t.Parallel()
	for _, place := range []string{"its connection", "another connection"} {
		for _, early := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the answer: %v", place, early), func(t *testing.T) {
				t.Parallel()
				p := start(t, append([]string{`"Idempotency": "safe"`, `"Idempotency": "unsafe"`}, never...)...)
				f := p.dial()
				id, frame := f.try("preview", "x")
				f.write(frame)
				p.expect("launch", id)
				end := func() {
					p.tell("outcome", id, "success", []byte("x"))
					f.expectAnswer(1, "x")
				}
				if !early {
					end()
				}
				g := f
				if place != "its connection" {
					g = p.dial()
				}
				g.write(frame)
				p.quiet() // nothing is run
				if early {
					end()
				}
				if g == f {
					f.expectEnd() // a number used twice
				} else {
					g.expectAnswer(1, errInvalid)
				}
			})
		}
	}
}

// pipe is a connection over loopback, its near end as the server has it.
func pipe(t *testing.T) (*conn, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	near, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { near.Close(); far.Close() })
	return newConn(near), far
}

// arrived waits until so many bytes wait in the socket.
func arrived(t *testing.T, c *conn, n int) {
	raw, err := c.net.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		peeked := 0
		b := make([]byte, n)
		require.NoError(t, raw.Control(func(fd uintptr) {
			peeked, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		return peeked == n
	}, patience, time.Millisecond)
}

// A limit on reading passes while the machine stands still, or while a connection is to be closed as idle, and what came
// before waits in the socket: it is read. The limit went first, and the connection with it.
func TestLimitAgainstWhatHasCome(t *testing.T) {
	t.Parallel()
	for name, ends := range map[string]struct {
		by  func(c *conn)
		err error
	}{
		"idle close": {func(c *conn) { c.PauseReading() }, errFinished},
		"pause":      {func(c *conn) { require.NoError(t, c.net.SetReadDeadline(passed)) }, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := make([]byte, 10)
			c, far := pipe(t)
			require.NoError(t, c.limit(true))
			_, err := far.Write([]byte("abc"))
			require.NoError(t, err)
			arrived(t, c, 3)
			ends.by(c)
			n, err := c.Read(b)
			require.NoError(t, err)
			require.Equal(t, "abc", string(b[:n]))
			ends.by(c) // and nothing has come since
			_, err = c.Read(b)
			require.ErrorIs(t, err, ends.err)

			c, far = pipe(t)
			ends.by(c)
			far.Close() // the other order: the end of the connection is no less an end
			require.Eventually(t, func() bool {
				_, err := c.Read(b)
				return err == io.EOF
			}, patience, time.Millisecond)
		})
	}
}

// Bytes come in the moment in which a connection is closed, after all that had come was read: they are read before it is.
// They were thrown away with the request that they were, and for as long as the loop took to come to the close.
func TestRequestAgainstTheClose(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"request", "close"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			b := make([]byte, 10)
			c, far := pipe(t)
			c.PauseReading()
			_, err := c.Read(b)
			require.ErrorIs(t, err, errFinished)
			if first == "request" {
				_, err := far.Write([]byte("abc"))
				require.NoError(t, err)
				arrived(t, c, 3)
				require.False(t, c.TryClose())
				<-c.again
				require.NoError(t, c.limit(false))
				n, err := c.Read(b)
				require.NoError(t, err)
				require.Equal(t, "abc", string(b[:n]))
				_, err = c.Read(b)
				require.ErrorIs(t, err, errFinished)
			}
			c.Send([]byte("answer"))
			require.True(t, c.TryClose())
			over := make(chan error, 1)
			go func() { over <- c.Run() }()
			all, err := io.ReadAll(far)
			require.NoError(t, err)
			require.Equal(t, "answer", string(all))
			require.NoError(t, <-over)

			c, far = pipe(t) // with nothing to write it is closed when End returns
			require.True(t, c.TryClose())
			require.NoError(t, far.SetReadDeadline(time.Now().Add(patience)))
			_, err = far.Read(b)
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// holder is a peer of the server whose answer to its call holds holds the loop.
type holder struct {
	held, release chan struct{}
}

const holds = 1

func (h *holder) Answer(call uint32, _ server.Answer) {
	if call == holds {
		h.held <- struct{}{}
		<-h.release
	}
}
func (h *holder) NotifyClosing()    {}
func (h *holder) PauseReading()     {}
func (h *holder) ResumeReading()    {}
func (h *holder) TryClose() bool    { return true }
func (h *holder) Close()            {}
func (h *holder) MaxOpenCalls() int { return maxOpen }

// quietPeer is one that says nothing.
type quietPeer struct{ holder }

func (*quietPeer) Answer(uint32, server.Answer) {}

// A connection that is idle for longest makes room for another while a request on it has been read, and waits for the
// loop: it is answered before the connection goes. It was passed over, and lost.
func TestRoomIsMadeAgainstARequest(t *testing.T) {
	t.Parallel()
	p := start(t, `"sockets": 1024`, `"sockets": 64`, `"IdleUs": 30000000`, `"IdleUs": 0`)
	f := p.dial()
	f.write(appendProbe(1, nil))
	f.expectAnswer(1, "%!s(bool=true)")
	f.next = 1
	h := &holder{make(chan struct{}), make(chan struct{})}
	p.server.ConnectionOpened(h)
	p.server.HealthCheck(h, holds, false)
	<-h.held
	for range 64/2 - 8 - 2 { // as many as there may be, all used later than f
		q := &quietPeer{}
		p.server.ConnectionOpened(q)
		p.server.HealthCheck(q, 1, false)
	}
	p.server.ConnectionOpened(&quietPeer{}) // takes the place of f
	run := f.send("preview", "x")
	h.release <- struct{}{}
	p.expect("launch", run)
	f.expectClosing() // and no more on this connection
	crossed := f.send("preview", "y")
	p.expect("launch", crossed)
	p.tell("outcome", run, "success", []byte("x"))
	f.expectAnswer(2, "x")
	p.tell("outcome", crossed, "success", []byte("y"))
	f.expectAnswer(3, "y")
	f.expectEnd()
}

// All places are taken by connections in use, and one more comes with a request on it, which has waited for a place: it is
// answered before that connection goes. It was closed unread.
func TestNoRoomAgainstARequest(t *testing.T) {
	t.Parallel()
	p := start(t, append([]string{`"sockets": 1024`, `"sockets": 64`}, never...)...)
	const places = 64/2 - 8
	h := &holder{make(chan struct{}), make(chan struct{})}
	p.server.ConnectionOpened(h)
	p.server.Submit(h, holds+1, server.Attempt{ID: "feed", Class: "preview", ArrivedAt: time.Duration(time.Now().UnixNano()), Timeout: 10 * time.Minute, MemoryKB: 1})
	for range places - 1 {
		g := p.dial()
		g.send("preview", "x")
		g.write(appendProbe(2, nil))
		g.expectAnswer(2, "%!s(bool=true)") // the request has been taken in
	}
	p.server.HealthCheck(h, holds, false)
	<-h.held // so that the request is there when a place is looked for
	f := p.dial()
	f.send("preview", "x")
	h.release <- struct{}{}
	f.expectClosing()
	for range places + 1 {
		p.tell("outcome", await(p, p.commands, "launch").Req, "success", []byte("x"))
	}
	f.expectAnswer(1, "x")
	f.expectEnd()
}

// A drain closes the listener while the machine has accepted a connection that the server has not, with a request on
// it: it is read and refused. It was reset.
func TestShutAgainstAConnectionNotAcceptedYet(t *testing.T) {
	t.Parallel()
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprint("accepted before: ", early), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			most := 1
			if early {
				most = 2
			}
			p := startFew(t, ln, "", most, `"stop_ms": 3200`, `"stop_ms": 3000000`, `"StopSendingWithinUs": 2500000`, `"StopSendingWithinUs": 1`)
			p.greet <- "steady"
			p.expect("subscribe", "")
			p.quiet() // the agent is up
			f := p.dial()
			run := f.send("preview", "x")
			p.expect("launch", run) // the only place is taken
			g := p.dial()
			if early {
				g.write(appendProbe(1, nil))
				g.expectAnswer(1, "%!s(bool=true)")
				g.next = 1
			}
			late := []string{"at", fmt.Sprint(time.Now().Add(500 * time.Millisecond).UnixMilli())} // after the notice
			if !early {
				g.send("preview", "y", late...)
			}
			p.server.Drain()
			f.expectClosing()
			p.quiet() // the listener is shut
			if early {
				g.send("preview", "y", late...)
			}
			p.tell("outcome", run, "success", []byte("x"))
			f.expectAnswer(1, "x")
			f.net.Close()
			g.expectClosing()
			g.expectAnswer(int(g.next), errRefused)
			g.net.Close()
			require.NoError(t, await(p, p.over, "end of the server"))
			require.Empty(t, p.commands)
		})
	}
}

// failing is a listener whose first Accept finds no descriptor free.
type failing struct {
	*net.TCPListener
	failed bool
}

func (l *failing) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// With all descriptors used up the next connection waits; the server goes on.
func TestNoDescriptorAgainstAConnection(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	p := start(t, never...)
	log, _ := test.NewNullLogger()
	front := newFront(&failing{TCPListener: ln.(*net.TCPListener)}, 4, logging.NewLimiter(log))
	g, ctx := errgroup.WithContext(t.Context())
	done := make(chan error, 1)
	go func() { done <- front.Serve(ctx, g, p.server) }()
	p.addr = ln.Addr().String()
	f := p.dial()
	f.write(appendProbe(1, nil))
	f.expectAnswer(1, "%!s(bool=true)")
	require.NoError(t, front.Close())
	require.NoError(t, await(p, done, "end of the listener"))
}

// A front end gives up, or goes, before or after its run's end is told: nothing more is owed, nothing runs twice, and the
// next request is served.
func TestGivenUpAgainstAnOutcome(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ first, second string }{
		"cancel, outcome": {"cancel", "outcome"}, "outcome, cancel": {"outcome", "cancel"},
		"leave, outcome": {"leave", "outcome"}, "outcome, leave": {"outcome", "leave"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := start(t, never...)
			f := p.dial()
			once := []string{"once", "ab12"}
			run := f.send("licence-order", "order", once...)
			p.expect("launch", run)
			for _, step := range []string{c.first, c.second} {
				switch step {
				case "cancel":
					f.write(appendCancel(1))
				case "leave":
					f.net.Close()
				case "outcome":
					p.tell("outcome", run, "success", []byte("done"))
				}
				p.quiet()
			}
			other := p.dial()
			other.send("licence-order", "order", once...) // the order ran: its result answers
			other.expectAnswer(1, "done")
			p.quiet()
		})
	}
}

// The agent is started anew while a run is in hand: nobody will tell of its end. It is answered as failed at once, and its
// order is not run again. Before, the link was deaf to all that the new agent told, whose numbers begin at 1 again.
func TestAgentRestartsAgainstAnOutcome(t *testing.T) {
	t.Parallel()
	p := start(t, never...)
	f := p.dial()
	for range 3 { // so that numbers have gone on
		id := f.send("preview", "x")
		p.expect("launch", id)
		p.tell("outcome", id, "success", []byte("x"))
		f.expectAnswer(int(f.next), "x")
	}
	run := f.send("licence-order", "order", "once", "ab12")
	p.expect("launch", run)
	p.cut()
	require.Equal(t, 3, p.expect("subscribe", "").Offset)
	p.greet <- "booting" // and just started
	f.expectAnswer(4, errFailed)
	require.Zero(t, p.expect("subscribe", "").Offset)
	p.offset = 0
	p.greet <- "booting"
	f.send("licence-order", "order", "once", "ab12")
	f.expectAnswer(5, errFailed) // it may have had its effect
	next := f.send("preview", "y")
	p.expect("launch", next)
	p.tell("outcome", next, "success", []byte("y"))
	f.expectAnswer(6, "y")
}

// A request in hand is answered, given up or too late, or its front end goes, before or after a drain has shut the listener:
// it has one answer or none, and the process ends by itself, long before it must, with its last connection.
func TestDrainAgainstWhatIsInHand(t *testing.T) {
	t.Parallel()
	for _, event := range []string{"outcome", "cancel", "leave", "deadline"} {
		for _, first := range []string{event, "drain"} {
			t.Run(event+", first "+first, func(t *testing.T) {
				t.Parallel()
				p := start(t, append([]string{`"stop_ms": 3200`, `"stop_ms": 3000000`, `"StopSendingWithinUs": 2500000`,
					`"StopSendingWithinUs": 1`}, never...)...)
				f := p.dial()
				wait := "600000"
				if event == "deadline" {
					wait = "3000"
				}
				run := f.send("preview", "x", "wait", wait)
				p.expect("launch", run)
				happens := func() {
					switch event {
					case "outcome":
						p.tell("outcome", run, "success", []byte("x"))
					case "cancel":
						f.write(appendCancel(1))
					case "leave":
						f.net.Close()
					}
				}
				answered := func() {
					switch event {
					case "outcome":
						f.expectAnswer(1, "x")
					case "deadline":
						f.expectAnswer(1, errFailed)
					}
				}
				if first == event {
					happens()
					answered()
				}
				p.server.Drain()
				p.server.Drain()
				if event == "deadline" && first == "drain" { // on a slow machine it may still be the first
					var kinds []any
					for range 2 {
						v, err := f.in.next()
						require.NoError(t, err)
						kinds = append(kinds, v.(arrayValue)[0])
					}
					require.ElementsMatch(t, []any{int64(kindAnswer), int64(kindNotification)}, kinds)
				} else if first == "drain" {
					f.expectClosing()
					happens()
					answered()
				} else if event != "leave" {
					f.expectClosing()
				}
				f.net.Close()
				require.NoError(t, await(p, p.over, "end of the server"))
			})
		}
	}
}

// A configuration with a longer time for arrivals comes before or after the notice, over which a request then comes: the time
// in force at the notice counts.
func TestReloadAgainstTheNotice(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"reload", "notice"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			p := start(t, append([]string{`"stop_ms": 3200`, `"stop_ms": 3000000`, `"StopSendingWithinUs": 2500000`,
				`"StopSendingWithinUs": 1`}, never...)...)
			f := p.dial()
			f.write(appendProbe(1, nil))
			f.expectAnswer(1, "%!s(bool=true)")
			f.next = 1
			longer := *p.cfg
			longer.Settings.DrainGrace = time.Hour
			if first == "reload" {
				p.server.Reload(&longer, nil)
			}
			p.server.Drain()
			f.expectClosing()
			if first == "notice" {
				p.server.Reload(&longer, nil)
			}
			run := f.send("preview", "x", "at", fmt.Sprint(time.Now().Add(500*time.Millisecond).UnixMilli())) // after the notice
			if first == "reload" {
				p.expect("launch", run)
				p.tell("outcome", run, "success", []byte("x"))
				f.expectAnswer(2, "x")
				return
			}
			f.expectAnswer(2, errRefused)
			require.Empty(t, p.commands)
			f.net.Close()
			require.NoError(t, await(p, p.over, "end of the server"))
		})
	}
}

// An order comes again before or after its run is lost with the agent: both tries are answered as failed, once, and the order
// is not run again.
func TestRepeatAgainstALostRun(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"repeat", "loss"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			p := start(t, never...)
			f, g := p.dial(), p.dial()
			p.expect("launch", f.send("licence-order", "order", "once", "ab12"))
			if first == "repeat" {
				g.send("licence-order", "order", "once", "ab12")
				g.write(appendProbe(2, nil))
				g.expectAnswer(2, "%!s(bool=true)") // the repeat has been taken in
			}
			p.cut()
			p.expect("subscribe", "")
			p.greet <- "booting" // and just started
			f.expectAnswer(1, errFailed)
			if first == "loss" {
				g.send("licence-order", "order", "once", "ab12")
			}
			g.expectAnswer(1, errFailed)
			p.expect("subscribe", "")
			p.offset = 0
			p.greet <- "booting"
			p.quiet()
		})
	}
}
