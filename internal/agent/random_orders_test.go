package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"falldeal/internal/logging"
	"falldeal/internal/writequeue"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

const (
	randomSeeds  = 100
	randomSteps  = 300
	callsPerRun  = 3
	barrierLine  = "barrier"
	skipCallRuns = 2 // every second run may do without its call
)

// simulatedRun is a run at the simulatedAgent.
type simulatedRun struct {
	id       string
	waitsFor int64 // offset of the notification that asked for the call that the run waits for; 0: the run works
	calls    int   // made so far
	ended    bool
}

// simulatedConnection is a connection of a Link to the simulatedAgent.
type simulatedConnection struct {
	queue   *writequeue.Queue
	input   *bufio.Scanner
	unread  []string       // commands that the agent has yet to read
	pending []Notification // notifications that the Link has yet to read
}

// simulatedAgent plays the agent of a Link, the store and the server. Each step of the test is one event at one of them, so that
// any order of events can come up.
type simulatedAgent struct {
	*testing.T
	random         *rand.Rand
	link           *Link
	subscribed     *simulatedConnection   // connection that subscribed last; nil: none is open
	open           []*simulatedConnection // connections that are open, in the order of opening
	launched       int                    // requests so far
	runs           []*simulatedRun
	notifications  []Notification   // all numbered ones
	calls          []CallRequest    // that the server has learned of and not answered
	unacknowledged map[int64]bool   // by offset of the call: replies that the Link has reported, whose runs may not skip it
	offsets        map[string]int64 // offset of the last call of a request that the server has learned of
}

func newSimulatedAgent(t *testing.T, seed uint64) *simulatedAgent {
	t.Helper()
	simulated := &simulatedAgent{
		T: t, random: rand.New(rand.NewPCG(seed, seed)), unacknowledged: map[int64]bool{}, offsets: map[string]int64{},
	}
	loop := Loop{Post: func(do func()) { do() }, Now: func() time.Duration { return 0 }}
	handler := Handler{
		OnNotification:        simulated.handleNotification,
		OnLost:                func() { simulated.Error("no notification was lost") },
		OnReplyUnacknowledged: simulated.handleReplyUnacknowledged,
	}
	log := logging.NewLimiter(golden.NewLogger(io.Discard))
	simulated.link = New(Config{Address: goldenAddr, Seed: 1}, loop, handler, log)
	simulated.connect()
	return simulated
}

// handleNotification is the server's part: it remembers the calls of runs.
func (s *simulatedAgent) handleNotification(notification Notification) {
	if call, ok := notification.(CallRequest); ok {
		s.calls = append(s.calls, call)
		s.offsets[call.RequestID] = call.Offset
	}
}

// handleReplyUnacknowledged is the server's part: it skips the call where the run may do without it.
func (s *simulatedAgent) handleReplyUnacknowledged(requestID string) {
	if mayDoWithoutCall(requestID) {
		s.link.SkipCall(requestID, s.offsets[requestID])
	} else {
		s.unacknowledged[s.offsets[requestID]] = true
	}
}

func mayDoWithoutCall(requestID string) bool {
	number, _ := strconv.Atoi(requestID)
	return number%skipCallRuns == 0
}

// connect opens a connection, and closes it at the end of the test.
func (s *simulatedAgent) connect() {
	local, remote := net.Pipe()
	s.Cleanup(func() { local.Close() })
	opened := &simulatedConnection{queue: writequeue.New(local, writeQueueSize), input: bufio.NewScanner(remote)}
	go func() { _ = opened.queue.Run() }()
	s.open = append(s.open, opened)
	s.link.handleOpened(goldenAddr, opened.queue)
}

// receive moves what the Link has written to the commands that the agent has yet to read.
func (s *simulatedAgent) receive(conn *simulatedConnection) {
	conn.queue.Send([]byte(barrierLine + "\n"))
	for conn.input.Scan() && conn.input.Text() != barrierLine {
		conn.unread = append(conn.unread, conn.input.Text())
	}
}

// readCommand makes the agent read the next command of a connection, if there is one.
func (s *simulatedAgent) readCommand(conn *simulatedConnection) {
	s.receive(conn)
	if len(conn.unread) == 0 {
		return
	}
	var received struct {
		Cmd, Req, Token string
		Offset          int64
		Payload         []byte
	}
	require.NoError(s, json.Unmarshal([]byte(conn.unread[0]), &received))
	conn.unread = conn.unread[1:]
	if received.Cmd == nameSubscribe {
		s.subscribe(conn, received.Offset)
		return
	}
	if conn != s.subscribed {
		return // a newer connection has replaced it
	}
	switch received.Cmd {
	case nameLaunch:
		if s.run(received.Req) == nil {
			s.runs = append(s.runs, &simulatedRun{id: received.Req})
		}
	case nameReply:
		if run := s.run(received.Req); run.waitsFor > 0 {
			require.Equal(s, replyTo(run.waitsFor), string(received.Payload), "reply to call %d of run %s", run.calls, run.id)
			run.waitsFor = 0
		}
	case nameSkipCall:
		if run := s.run(received.Req); run.waitsFor == received.Offset {
			run.waitsFor = 0
		}
	case nameSample:
		sequence, err := strconv.ParseInt(received.Token, 10, 64)
		require.NoError(s, err)
		conn.pending = append(conn.pending, rawSample{sequence: sequence})
	}
}

// subscribe makes a connection the current one of the agent, which ends the one before it.
func (s *simulatedAgent) subscribe(conn *simulatedConnection, after int64) {
	replaced := s.subscribed
	s.subscribed = conn
	conn.pending = append(conn.pending, Handshake{State: Steady, Age: time.Hour})
	conn.pending = append(conn.pending, s.notifications[after:]...)
	if replaced != nil && replaced != conn {
		s.end(replaced)
	}
}

func replyTo(offset int64) string { return fmt.Sprint("reply to ", offset) }

func (s *simulatedAgent) run(id string) *simulatedRun {
	i := slices.IndexFunc(s.runs, func(run *simulatedRun) bool { return run.id == id })
	if i < 0 {
		return nil
	}
	return s.runs[i]
}

// work lets a run that works come to its next call, or to its end.
func (s *simulatedAgent) work(run *simulatedRun) {
	if run.ended || run.waitsFor > 0 {
		return
	}
	offset := int64(len(s.notifications) + 1)
	var published Notification = RunOutcome{Offset: offset, RequestID: run.id, Result: RunSucceeded}
	if run.calls < callsPerRun {
		run.calls++
		run.waitsFor = offset
		published = CallRequest{Offset: offset, RequestID: run.id}
	} else {
		run.ended = true
	}
	s.notifications = append(s.notifications, published)
	if s.subscribed != nil {
		s.subscribed.pending = append(s.subscribed.pending, published)
	}
}

// readNotification makes the Link read the next notification of a connection, if there is one.
func (s *simulatedAgent) readNotification(conn *simulatedConnection) {
	if len(conn.pending) > 0 {
		next := conn.pending[0]
		conn.pending = conn.pending[1:]
		s.link.handleNotification(conn.queue, next)
	}
}

// reply makes the store reply to one of the calls that the server has learned of.
func (s *simulatedAgent) reply() {
	if len(s.calls) > 0 {
		i := s.random.IntN(len(s.calls))
		call := s.calls[i]
		s.calls = slices.Delete(s.calls, i, i+1)
		s.link.Reply(call.RequestID, []byte(replyTo(call.Offset)))
	}
}

// end ends a connection. Commands and notifications that were not read are lost. If the Link has no other connection, it opens
// one.
func (s *simulatedAgent) end(ended *simulatedConnection) {
	s.open = slices.DeleteFunc(s.open, func(conn *simulatedConnection) bool { return conn == ended })
	if s.subscribed == ended {
		s.subscribed = nil
	}
	s.link.handleClosed(ended.queue)
	if s.link.current == nil && s.link.next == nil {
		s.connect()
	}
}

// step plays one event that is drawn at random.
func (s *simulatedAgent) step() {
	conn := s.open[s.random.IntN(len(s.open))]
	switch draw := s.random.IntN(100); {
	case draw < 4:
		s.launched++
		s.link.Launch(strconv.Itoa(s.launched), "preview", nil)
	case draw < 40:
		s.readCommand(conn)
	case draw < 70:
		s.readNotification(conn)
	case draw < 82:
		if len(s.runs) > 0 {
			s.work(s.runs[s.random.IntN(len(s.runs))])
		}
	case draw < 94:
		s.reply()
	case draw < 96:
		s.link.SampleGauges()
	case draw < 98:
		s.end(conn)
	default:
		if len(s.open) < 2 {
			s.connect() // as after a change of the address
		}
	}
}

// settle plays on without breaks until nothing more can happen.
func (s *simulatedAgent) settle() {
	for range randomSteps {
		for len(s.open) > 1 {
			s.end(s.open[0])
		}
		s.link.SampleGauges()
		for _, run := range s.runs {
			s.work(run)
		}
		s.reply()
		for s.receive(s.open[0]); len(s.open[0].unread) > 0; {
			s.readCommand(s.open[0])
		}
		for len(s.open[0].pending) > 0 {
			s.readNotification(s.open[0])
		}
	}
}

// Guards against a run that gets the reply to an earlier or later call, or none although that was not reported. Each reply must
// reach its call in any order of commands, notifications, store replies, changes of the address, and breaks of the connection that
// lose what was not read.
func TestEachReplyReachesItsCallInRandomOrders(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulated := newSimulatedAgent(t, seed)
			for range randomSteps {
				simulated.step()
			}
			simulated.settle()
			for _, run := range simulated.runs {
				if !run.ended {
					require.True(t, simulated.unacknowledged[run.waitsFor], "run %s waits for its call %d", run.id, run.calls)
				}
			}
			require.Empty(t, simulated.link.commands.unacknowledged)
		})
	}
}
