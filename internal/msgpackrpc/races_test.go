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

// noIdleClose has no connection told to go for being idle, however slow the machine is.
var noIdleClose = []string{`"IdleUs": 30000000`, `"IdleUs": 0`}

func appendCancel(call uint32) []byte {
	b := appendString(append(appendArray(nil, 3), kindNotification), methodCancel)
	return appendUint(appendArray(b, 1), call)
}

// What can't be read, or does not end, costs its own connection; what was read from that before is still answered. The
// connection was closed at once: a request that had been read was lost, and unread bytes took along answers that had
// been written.
func TestBrokenFrameDoesNotLoseAnswers(t *testing.T) {
	t.Parallel()
	garbage := bytes.Repeat([]byte{0xc1}, 100<<10)
	for name, broken := range map[string]func(client *testClient) []byte{
		"garbage":    func(*testClient) []byte { return garbage },
		"half frame": func(client *testClient) []byte { _, b := client.newRequest("preview", "half"); return b[:len(b)-1] },
		"same number": func(client *testClient) []byte {
			client.lastCall = 0
			_, b := client.newRequest("preview", "twice")
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client := peers.dial()
			runID := client.sendRequest("preview", "x")
			peers.expectCommand("launch", runID)
			client.write(broken(client))
			if name != "half frame" { // nothing after it is taken, but for what makes it whole
				client.write(appendHealthCheck(7, nil))
			}
			peers.expectNoCommand() // the server has long had it
			peers.agentSends("outcome", runID, "success", []byte("x"))
			client.expectAnswer(1, "x")
			client.expectConnectionEnd()
		})
		if name == "same number" {
			continue // with the first answered, the number is free
		}
		t.Run(name+" after the answer", func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client := peers.dial()
			runID := client.sendRequest("preview", "x")
			peers.expectCommand("launch", runID)
			peers.agentSends("outcome", runID, "success", []byte("x"))
			client.expectAnswer(1, "x")
			client.write(broken(client))
			client.expectConnectionEnd()
		})
	}
}

// A try comes again, as it was sent or on another connection, before or after its answer: it is run once and answered once.
// After the answer it was taken for a new one, run and answered a second time.
func TestDuplicateAttemptRunsOnce(t *testing.T) {
	t.Parallel()
	for _, place := range []string{"its connection", "another connection"} {
		for _, early := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the answer: %v", place, early), func(t *testing.T) {
				t.Parallel()
				peers := startServer(t, append([]string{`"Idempotency": "safe"`, `"Idempotency": "unsafe"`}, noIdleClose...)...)
				client := peers.dial()
				id, frame := client.newRequest("preview", "x")
				client.write(frame)
				peers.expectCommand("launch", id)
				end := func() {
					peers.agentSends("outcome", id, "success", []byte("x"))
					client.expectAnswer(1, "x")
				}
				if !early {
					end()
				}
				other := client
				if place != "its connection" {
					other = peers.dial()
				}
				other.write(frame)
				peers.expectNoCommand() // nothing is run
				if early {
					end()
				}
				if other == client {
					client.expectConnectionEnd() // a number used twice
				} else {
					other.expectAnswer(1, codeInvalid)
				}
			})
		}
	}
}

// loopbackConn is a connection over loopback, its near end as the server has it.
func loopbackConn(t *testing.T) (*conn, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	remote, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	local, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { local.Close(); remote.Close() })
	return newConn(local), remote
}

// waitForInput waits until so many bytes wait in the socket.
func waitForInput(t *testing.T, conn *conn, size int) {
	raw, err := conn.netConn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		peeked := 0
		b := make([]byte, size)
		require.NoError(t, raw.Control(func(fd uintptr) {
			peeked, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		return peeked == size
	}, testTimeout, time.Millisecond)
}

// A limit on reading passes while the machine stands still, or while a connection is to be closed as idle, and what came
// before waits in the socket: it is read. The limit went first, and the connection with it.
func TestReadTimeoutDoesNotLoseInput(t *testing.T) {
	t.Parallel()
	for name, interrupt := range map[string]struct {
		by  func(local *conn)
		err error
	}{
		"idle close": {func(local *conn) { local.PauseReading() }, errReadPaused},
		"pause":      {func(local *conn) { require.NoError(t, local.netConn.SetReadDeadline(expiredDeadline)) }, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			buffer := make([]byte, 10)
			local, remote := loopbackConn(t)
			require.NoError(t, local.input.setPartial(true))
			_, err := remote.Write([]byte("abc"))
			require.NoError(t, err)
			waitForInput(t, local, 3)
			interrupt.by(local)
			n, err := local.input.Read(buffer)
			require.NoError(t, err)
			require.Equal(t, "abc", string(buffer[:n]))
			interrupt.by(local) // and nothing has come since
			_, err = local.input.Read(buffer)
			require.ErrorIs(t, err, interrupt.err)

			local, remote = loopbackConn(t)
			interrupt.by(local)
			remote.Close() // the other order: the end of the connection is no less an end
			require.Eventually(t, func() bool {
				_, err := local.input.Read(buffer)
				return err == io.EOF
			}, testTimeout, time.Millisecond)
		})
	}
}

// Bytes come in the moment in which a connection is closed, after all that had come was read: they are read before it is.
// They were thrown away with the request that they were, and for as long as the loop took to come to the close.
func TestCloseDoesNotLoseInput(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"request", "close"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			buffer := make([]byte, 10)
			local, remote := loopbackConn(t)
			local.PauseReading()
			_, err := local.input.Read(buffer)
			require.ErrorIs(t, err, errReadPaused)
			if first == "request" {
				_, err := remote.Write([]byte("abc"))
				require.NoError(t, err)
				waitForInput(t, local, 3)
				require.False(t, local.TryClose())
				<-local.input.resumed
				require.NoError(t, local.input.restart())
				n, err := local.input.Read(buffer)
				require.NoError(t, err)
				require.Equal(t, "abc", string(buffer[:n]))
				_, err = local.input.Read(buffer)
				require.ErrorIs(t, err, errReadPaused)
			}
			local.Send([]byte("answer"))
			require.True(t, local.TryClose())
			done := make(chan error, 1)
			go func() { done <- local.Run() }()
			written, err := io.ReadAll(remote)
			require.NoError(t, err)
			require.Equal(t, "answer", string(written))
			require.NoError(t, <-done)

			local, remote = loopbackConn(t) // with nothing to write it is closed when End returns
			require.True(t, local.TryClose())
			require.NoError(t, remote.SetReadDeadline(time.Now().Add(testTimeout)))
			_, err = remote.Read(buffer)
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// blockingConnection is a peer of the server whose answer to its call holds holds the loop.
type blockingConnection struct {
	blocked, release chan struct{}
}

const blockingCall = 1

func (h *blockingConnection) Answer(call uint32, _ server.Answer) {
	if call == blockingCall {
		h.blocked <- struct{}{}
		<-h.release
	}
}
func (h *blockingConnection) NotifyClosing()    {}
func (h *blockingConnection) PauseReading()     {}
func (h *blockingConnection) ResumeReading()    {}
func (h *blockingConnection) TryClose() bool    { return true }
func (h *blockingConnection) Close()            {}
func (h *blockingConnection) MaxOpenCalls() int { return maxOpenCalls }

// silentConnection is one that says nothing.
type silentConnection struct{ blockingConnection }

func (*silentConnection) Answer(uint32, server.Answer) {}

// A connection that is idle for longest makes room for another while a request on it has been read, and waits for the
// loop: it is answered before the connection goes. It was passed over, and lost.
func TestEvictedConnectionAnswersItsRequests(t *testing.T) {
	t.Parallel()
	peers := startServer(t, `"sockets": 1024`, `"sockets": 64`, `"IdleUs": 30000000`, `"IdleUs": 0`)
	client := peers.dial()
	client.write(appendHealthCheck(1, nil))
	client.expectAnswer(1, "%!s(bool=true)")
	client.lastCall = 1
	blocker := &blockingConnection{make(chan struct{}), make(chan struct{})}
	peers.server.ConnectionOpened(blocker)
	peers.server.HealthCheck(blocker, blockingCall, false)
	<-blocker.blocked
	for range 64/2 - 8 - 2 { // as many as there may be, all used later than f
		silent := &silentConnection{}
		peers.server.ConnectionOpened(silent)
		peers.server.HealthCheck(silent, 1, false)
	}
	peers.server.ConnectionOpened(&silentConnection{}) // takes the place of f
	runID := client.sendRequest("preview", "x")
	blocker.release <- struct{}{}
	peers.expectCommand("launch", runID)
	client.expectClosing() // and no more on this connection
	crossed := client.sendRequest("preview", "y")
	peers.expectCommand("launch", crossed)
	peers.agentSends("outcome", runID, "success", []byte("x"))
	client.expectAnswer(2, "x")
	peers.agentSends("outcome", crossed, "success", []byte("y"))
	client.expectAnswer(3, "y")
	client.expectConnectionEnd()
}

// All places are taken by connections in use, and one more comes with a request on it, which has waited for a place: it is
// answered before that connection goes. It was closed unread.
func TestConnectionOverLimitAnswersItsRequest(t *testing.T) {
	t.Parallel()
	peers := startServer(t, append([]string{`"sockets": 1024`, `"sockets": 64`}, noIdleClose...)...)
	const capacity = 64/2 - 8
	blocker := &blockingConnection{make(chan struct{}), make(chan struct{})}
	peers.server.ConnectionOpened(blocker)
	peers.server.Submit(blocker, blockingCall+1, server.Attempt{ID: "feed", Class: "preview", ArrivedAt: time.Duration(time.Now().UnixNano()), Timeout: 10 * time.Minute, MemoryKB: 1})
	for range capacity - 1 {
		other := peers.dial()
		other.sendRequest("preview", "x")
		other.write(appendHealthCheck(2, nil))
		other.expectAnswer(2, "%!s(bool=true)") // the request has been taken in
	}
	peers.server.HealthCheck(blocker, blockingCall, false)
	<-blocker.blocked // so that the request is there when a place is looked for
	client := peers.dial()
	client.sendRequest("preview", "x")
	blocker.release <- struct{}{}
	client.expectClosing()
	for range capacity + 1 {
		peers.agentSends("outcome", await(peers, peers.commands, "launch").Req, "success", []byte("x"))
	}
	client.expectAnswer(1, "x")
	client.expectConnectionEnd()
}

// A drain closes the listener while the machine has accepted a connection that the server has not, with a request on
// it: it is read and refused. It was reset.
func TestDrainAnswersConnectionsNotYetAccepted(t *testing.T) {
	t.Parallel()
	for _, acceptedBefore := range []bool{true, false} {
		t.Run(fmt.Sprint("accepted before: ", acceptedBefore), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			maxConns := 1
			if acceptedBefore {
				maxConns = 2
			}
			peers := startServerWithLimit(t, ln, "", maxConns, `"stop_ms": 3200`, `"stop_ms": 3000000`, `"StopSendingWithinUs": 2500000`, `"StopSendingWithinUs": 1`)
			peers.handshake <- "steady"
			peers.expectCommand("subscribe", "")
			peers.expectNoCommand() // the agent is up
			client := peers.dial()
			runID := client.sendRequest("preview", "x")
			peers.expectCommand("launch", runID) // the only place is taken
			other := peers.dial()
			if acceptedBefore {
				other.write(appendHealthCheck(1, nil))
				other.expectAnswer(1, "%!s(bool=true)")
				other.lastCall = 1
			}
			late := []string{"at", fmt.Sprint(time.Now().Add(500 * time.Millisecond).UnixMilli())} // after the notice
			if !acceptedBefore {
				other.sendRequest("preview", "y", late...)
			}
			peers.server.Drain()
			client.expectClosing()
			peers.expectNoCommand() // the listener is shut
			if acceptedBefore {
				other.sendRequest("preview", "y", late...)
			}
			peers.agentSends("outcome", runID, "success", []byte("x"))
			client.expectAnswer(1, "x")
			client.netConn.Close()
			other.expectClosing()
			other.expectAnswer(int(other.lastCall), codeOverloaded)
			other.netConn.Close()
			require.NoError(t, await(peers, peers.serverDone, "end of the server"))
			require.Empty(t, peers.commands)
		})
	}
}

// failingListener is a listener whose first Accept finds no descriptor free.
type failingListener struct {
	*net.TCPListener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// With all descriptors used up the next connection waits; the server goes on.
func TestAcceptContinuesAfterDescriptorsRunOut(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	peers := startServer(t, noIdleClose...)
	log, _ := test.NewNullLogger()
	listener := newFront(&failingListener{TCPListener: ln.(*net.TCPListener)}, 4, logging.NewLimiter(log))
	group, ctx := errgroup.WithContext(t.Context())
	done := make(chan error, 1)
	go func() { done <- listener.Serve(ctx, group, peers.server) }()
	peers.addr = ln.Addr().String()
	client := peers.dial()
	client.write(appendHealthCheck(1, nil))
	client.expectAnswer(1, "%!s(bool=true)")
	require.NoError(t, listener.Close())
	require.NoError(t, await(peers, done, "end of the listener"))
}

// A front end gives up, or goes, before or after its run's end is told: nothing more is owed, nothing runs twice, and the
// next request is served.
func TestCancelAndOutcomeInEitherOrder(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ first, second string }{
		"cancel, outcome": {"cancel", "outcome"}, "outcome, cancel": {"outcome", "cancel"},
		"leave, outcome": {"leave", "outcome"}, "outcome, leave": {"outcome", "leave"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client := peers.dial()
			once := []string{"once", "ab12"}
			runID := client.sendRequest("licence-order", "order", once...)
			peers.expectCommand("launch", runID)
			for _, step := range []string{test.first, test.second} {
				switch step {
				case "cancel":
					client.write(appendCancel(1))
				case "leave":
					client.netConn.Close()
				case "outcome":
					peers.agentSends("outcome", runID, "success", []byte("done"))
				}
				peers.expectNoCommand()
			}
			other := peers.dial()
			other.sendRequest("licence-order", "order", once...) // the order ran: its result answers
			other.expectAnswer(1, "done")
			peers.expectNoCommand()
		})
	}
}

// The agent is started anew while a run is in hand: nobody will tell of its end. It is answered as failed at once, and its
// order is not run again. Before, the link was deaf to all that the new agent told, whose numbers begin at 1 again.
func TestAgentRestartFailsRunsInFlight(t *testing.T) {
	t.Parallel()
	peers := startServer(t, noIdleClose...)
	client := peers.dial()
	for range 3 { // so that numbers have gone on
		id := client.sendRequest("preview", "x")
		peers.expectCommand("launch", id)
		peers.agentSends("outcome", id, "success", []byte("x"))
		client.expectAnswer(int(client.lastCall), "x")
	}
	runID := client.sendRequest("licence-order", "order", "once", "ab12")
	peers.expectCommand("launch", runID)
	peers.breakAgentLink()
	require.Equal(t, 3, peers.expectCommand("subscribe", "").Offset)
	peers.handshake <- "booting" // and just started
	client.expectAnswer(4, codeInternal)
	require.Zero(t, peers.expectCommand("subscribe", "").Offset)
	peers.lastOffset = 0
	peers.handshake <- "booting"
	client.sendRequest("licence-order", "order", "once", "ab12")
	client.expectAnswer(5, codeInternal) // it may have had its effect
	next := client.sendRequest("preview", "y")
	peers.expectCommand("launch", next)
	peers.agentSends("outcome", next, "success", []byte("y"))
	client.expectAnswer(6, "y")
}

// A request in hand is answered, given up or too late, or its front end goes, before or after a drain has shut the listener:
// it has one answer or none, and the process ends by itself, long before it must, with its last connection.
func TestDrainEndsAfterRequestsInFlight(t *testing.T) {
	t.Parallel()
	for _, event := range []string{"outcome", "cancel", "leave", "deadline"} {
		for _, first := range []string{event, "drain"} {
			t.Run(event+", first "+first, func(t *testing.T) {
				t.Parallel()
				peers := startServer(t, append([]string{`"stop_ms": 3200`, `"stop_ms": 3000000`, `"StopSendingWithinUs": 2500000`,
					`"StopSendingWithinUs": 1`}, noIdleClose...)...)
				client := peers.dial()
				wait := "600000"
				if event == "deadline" {
					wait = "3000"
				}
				runID := client.sendRequest("preview", "x", "wait", wait)
				peers.expectCommand("launch", runID)
				trigger := func() {
					switch event {
					case "outcome":
						peers.agentSends("outcome", runID, "success", []byte("x"))
					case "cancel":
						client.write(appendCancel(1))
					case "leave":
						client.netConn.Close()
					}
				}
				expectOutcome := func() {
					switch event {
					case "outcome":
						client.expectAnswer(1, "x")
					case "deadline":
						client.expectAnswer(1, codeInternal)
					}
				}
				if first == event {
					trigger()
					expectOutcome()
				}
				peers.server.Drain()
				peers.server.Drain()
				if event == "deadline" && first == "drain" { // on a slow machine it may still be the first
					var kinds []any
					for range 2 {
						value, err := client.decoder.next()
						require.NoError(t, err)
						kinds = append(kinds, value.(arrayValue)[0])
					}
					require.ElementsMatch(t, []any{int64(kindResponse), int64(kindNotification)}, kinds)
				} else if first == "drain" {
					client.expectClosing()
					trigger()
					expectOutcome()
				} else if event != "leave" {
					client.expectClosing()
				}
				client.netConn.Close()
				require.NoError(t, await(peers, peers.serverDone, "end of the server"))
			})
		}
	}
}

// A configuration with a longer time for arrivals comes before or after the notice, over which a request then comes: the time
// in force at the notice counts.
func TestReloadDuringDrainKeepsItsGrace(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"reload", "notice"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, append([]string{`"stop_ms": 3200`, `"stop_ms": 3000000`, `"StopSendingWithinUs": 2500000`,
				`"StopSendingWithinUs": 1`}, noIdleClose...)...)
			client := peers.dial()
			client.write(appendHealthCheck(1, nil))
			client.expectAnswer(1, "%!s(bool=true)")
			client.lastCall = 1
			longer := *peers.cfg
			longer.Settings.DrainGrace = time.Hour
			if first == "reload" {
				peers.server.Reload(&longer, nil)
			}
			peers.server.Drain()
			client.expectClosing()
			if first == "notice" {
				peers.server.Reload(&longer, nil)
			}
			runID := client.sendRequest("preview", "x", "at", fmt.Sprint(time.Now().Add(500*time.Millisecond).UnixMilli())) // after the notice
			if first == "reload" {
				peers.expectCommand("launch", runID)
				peers.agentSends("outcome", runID, "success", []byte("x"))
				client.expectAnswer(2, "x")
				return
			}
			client.expectAnswer(2, codeOverloaded)
			require.Empty(t, peers.commands)
			client.netConn.Close()
			require.NoError(t, await(peers, peers.serverDone, "end of the server"))
		})
	}
}

// An order comes again before or after its run is lost with the agent: both tries are answered as failed, once, and the order
// is not run again.
func TestRetryOfLostRunFails(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"repeat", "loss"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client, other := peers.dial(), peers.dial()
			peers.expectCommand("launch", client.sendRequest("licence-order", "order", "once", "ab12"))
			if first == "repeat" {
				other.sendRequest("licence-order", "order", "once", "ab12")
				other.write(appendHealthCheck(2, nil))
				other.expectAnswer(2, "%!s(bool=true)") // the repeat has been taken in
			}
			peers.breakAgentLink()
			peers.expectCommand("subscribe", "")
			peers.handshake <- "booting" // and just started
			client.expectAnswer(1, codeInternal)
			if first == "loss" {
				other.sendRequest("licence-order", "order", "once", "ab12")
			}
			other.expectAnswer(1, codeInternal)
			peers.expectCommand("subscribe", "")
			peers.lastOffset = 0
			peers.handshake <- "booting"
			peers.expectNoCommand()
		})
	}
}
