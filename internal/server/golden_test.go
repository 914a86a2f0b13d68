package server

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/fleet"
	"falldeal/internal/handover"
	"falldeal/internal/logging"
	"falldeal/internal/overload"
	"falldeal/internal/stats"
	"falldeal/internal/store"
	"falldeal/lab/golden"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// captureLog makes server log to the returned buffer at level debug, in the format of a process whose standard error is a
// file, without times.
func captureLog(server *Server) *bytes.Buffer {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetLevel(logrus.DebugLevel)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	server.log, server.warnings, server.traceRequests = log, logging.NewLimiter(log), debugEnabled(log)
	return &lines
}

// The trace line of a request must not change, whatever its outcome, its reason and the outcome of its last call.
func TestGoldenRequestTrace(t *testing.T) {
	server, _ := newServerWithoutLoop(t)
	lines := captureLog(server)
	at := server.clock.now - 40*time.Millisecond
	attempt := Attempt{
		ID:        "a1",
		Class:     "licence-order",
		Client:    2,
		ArrivedAt: at,
		Timeout:   2 * time.Second,
		CostHint:  70 * time.Millisecond,
	}
	for _, kind := range []AnswerKind{Served, Rejected, Failed, Invalid} {
		server.logTrace(&activeRequest{attempt: attempt, class: 2}, kind.String())
	}
	keyed := attempt
	keyed.IdempotencyKey = "order 7"
	running := &activeRequest{attempt: keyed, class: 2, state: requestRunning, startedAt: at + 10*time.Millisecond}
	server.logTrace(running, Served.String())
	for reason := admission.ReasonCPU; reason <= admission.ReasonBelowThreshold; reason++ {
		server.logTrace(&activeRequest{attempt: attempt, trace: requestTrace{reason: traceReason(reason.String())}}, Rejected.String())
	}
	for reply := store.OK; int(reply) < len(replyOutcomes); reply++ {
		trace := requestTrace{calls: 3, callTime: 15 * time.Millisecond, lastCallOutcome: outcomeNames[replyOutcomes[reply]]}
		request := &activeRequest{attempt: attempt, state: requestRunning, startedAt: at, trace: trace}
		server.logTrace(request, Served.String())
	}
	golden.RequireText(t, "trail", lines.String())
}

// The trace lines of active requests must not change: of one that fails, two that are rejected, and one that is cancelled
// while a call is in flight.
func TestGoldenTraceOfRequests(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	lines := captureLog(server)
	submit := func(call uint32, id string) *activeRequest {
		attempt := attemptWithKey(server, id, id)
		attempt.ArrivedAt -= 5 * time.Millisecond
		attempt.Timeout = 2 * time.Second
		server.Submit(conn, call, attempt)
		handleInbox()
		server.step()
		return server.requests.byAttemptID[id]
	}
	server.fail(submit(1, "a1"))
	late := admission.Rejection{Reason: admission.ReasonTooLate, Cause: admission.ReasonMemory}
	server.reject(submit(3, "a3"), late)
	early := admission.Rejection{Reason: admission.ReasonMemory, Cause: admission.ReasonMemory}
	server.reject(submit(4, "a4"), early)
	submit(2, "a2")
	server.handleCallRequest(agent.CallRequest{RequestID: "a2", Payload: []byte("x")})
	server.step()
	server.ReadEnded(conn, Disconnected)
	handleInbox()
	golden.RequireText(t, "trail_of_requests", lines.String())
}

// The trace lines of requests that the server answers without the controller must not change: before the agent is up, and
// at the end of the loop.
func TestGoldenTraceOfServerReasons(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	lines := captureLog(server)
	submit := func(call uint32, id string) {
		server.Submit(conn, call, attemptWithKey(server, id, id))
		handleInbox()
	}
	submit(1, "a1")
	startAgent(server)
	submit(2, "a2")
	server.step()
	submit(3, "a3")
	server.admission.events = nil // the controller does not decide on a3 any more
	server.shutDown()
	golden.RequireText(t, "trail_of_server_reasons", lines.String())
}

// goldenLogCases are the events whose log lines TestGoldenLog checks.
var goldenLogCases = []struct {
	name string
	act  func(t *testing.T, server *Server)
}{
	{"the agent is up", func(_ *testing.T, server *Server) {
		server.handleHandshake(agent.Handshake{State: agent.Steady, Age: time.Minute})
	}},
	{"the agent is booting", func(_ *testing.T, server *Server) {
		server.handleHandshake(agent.Handshake{State: agent.Booting, Age: time.Second})
	}},
	{"settings that no controller takes", func(_ *testing.T, server *Server) {
		server.config.Settings.Cores = 0
		startAgent(server)
	}},
	{"a command that the agent did not carry out", func(_ *testing.T, server *Server) {
		server.handleCommandRejected(agent.CommandRejection{RequestID: "a1", Command: agent.CommandLaunch})
	}},
	{"a wrong request", func(_ *testing.T, server *Server) {
		attempt := Attempt{ID: "a1", Client: 2, Class: "preview"}
		server.answerInvalid(&recordingConnection{}, 1, &attempt, errTooManyOpenRequests)
	}},
	{"a request that can't be read", func(_ *testing.T, server *Server) {
		server.ConnectionOpened(&recordingConnection{})
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		server.RejectInvalid(conn, 1, errors.New("field id: missing"))
	}},
	{"a second run under a key", func(_ *testing.T, server *Server) {
		startAgent(server)
		request := &activeRequest{connection: &recordingConnection{}, attempt: attemptWithKey(server, "a1", "order 7")}
		server.idempotency.register(request)
		server.idempotency.markRunning(request)
		server.startRun(request)
	}},
	{"an action that can't be carried out", func(_ *testing.T, server *Server) {
		server.requests.byID[1] = &activeRequest{}
		server.dispatch(admission.Action{Kind: admission.ActionAdvertise, ID: 1})
	}},
	{"conditions that the controller reports", func(_ *testing.T, server *Server) {
		for _, change := range []admission.ConditionChange{
			{Condition: admission.ConditionBreaker, Active: true, Value: 0.25},
			{Condition: admission.ConditionBreaker, Active: false},
			{Condition: admission.ConditionCallLimit, Active: true, Value: 2.22},
			{Condition: admission.ConditionAdmission, Active: true, Value: 0.9},
			{Condition: admission.ConditionMemory, Active: true, Value: 3681.5},
			{Condition: admission.ConditionHealth, Active: true, Value: 0.5},
			{Condition: admission.ConditionDrain, Active: true},
		} {
			server.dispatch(admission.Action{Kind: admission.ActionLog, Condition: change})
		}
	}},
	{"reload", func(_ *testing.T, server *Server) { server.Reload(server.config.Config) }},
	{"reload of a file that is wrong", func(_ *testing.T, server *Server) {
		server.ReloadFailed(errors.New("settings.Lanes[0].DeadlineUs: want more than 0"))
	}},
	{"SIGTERM", func(_ *testing.T, server *Server) { server.Drain() }},
	{"SIGTERM with a successor", func(_ *testing.T, server *Server) {
		server.handover.authority.SuccessorJoined()
		server.Drain()
	}},
	{"the predecessor connects, and sends its keys", func(_ *testing.T, server *Server) {
		link := &handover.Link{}
		server.predecessorJoined(nil)
		server.predecessorJoined(link)
		server.handlePeerMessage(link, handover.KeyKnown{IdempotencyKey: "order 7", WindowEnd: server.clock.unix()})
		server.handlePeerMessage(link, handover.KeysSynced{})
	}},
	{"the predecessor ends", func(_ *testing.T, server *Server) {
		server.handover.predecessor = &handover.Link{}
		server.peerEnded(server.handover.predecessor)
	}},
	{"the successor ends", func(_ *testing.T, server *Server) {
		server.handover.successor = &handover.Link{}
		server.peerEnded(server.handover.successor)
	}},
	{"SIGUSR1", func(_ *testing.T, server *Server) {
		server.stats = stats.Counters{Requests: 7}
		server.logCounters()
	}},
	{"SIGUSR1 in a fleet", func(_ *testing.T, server *Server) {
		server.JoinFleet(&recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4})})
		server.logFleet()
	}},
	{"a message of another member that can't be read", func(_ *testing.T, server *Server) {
		f := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4})}
		server.JoinFleet(f)
		f.receive([]byte("noise"))
	}},
	{"fault injection", func(t *testing.T, server *Server) { require.True(t, server.StallLoop(0)) }},
	{"a change of state", func(_ *testing.T, server *Server) {
		server.JoinFleet(&recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4})})
		server.recordChange(logrus.InfoLevel, StateChange{Name: "what", To: "full", Fields: logrus.Fields{"rank": 3}})
	}},
	{"the quota falls, stays low, returns and rises", func(_ *testing.T, server *Server) {
		server.JoinFleet(&recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4})})
		base := overload.QuotaFromCalls(5)
		limits := []overload.Quota{base, base / 2, base / 4, base, base * 2, base}
		for i, to := range limits[1:] {
			server.recordQuotaChange(limits[i], to, base)
		}
	}},
	{"the store fails, as this member finds it", func(_ *testing.T, server *Server) {
		server.JoinFleet(&recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4})})
		server.EnableCoordinatedProbes(1, "mechelen")
		server.tickProbes() // learns which store it is
		for range 100 {
			server.recordCallResult(store.ConnectionBroken)
		}
		server.tickProbes()
	}},
	{"the fleet is full", func(_ *testing.T, server *Server) {
		f := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4}), now: time.Second}
		f.view.Merge(f.now, 0, fleet.Record{Name: "n4", Run: 7, Seq: 1, State: fleet.Serving,
			Load: fleet.Load{Capacity: 30, ServiceRate: 100, Demand: string([]byte{40, 250, 250})}})
		f.view.ObserveReach(f.now, "n4", 7, fleet.Reached)
		server.JoinFleet(f)
		server.EnableShedding(overload.ProcessID{Name: "n3", Run: 1})
		startAgent(server)
		server.tickShedding()
	}},
}

// The documentation tells operators to look for these log lines, so they must not change by accident.
func TestGoldenLog(t *testing.T) {
	var got strings.Builder
	for _, testCase := range goldenLogCases {
		server, handleInbox := newServerWithoutLoop(t)
		lines := captureLog(server)
		testCase.act(t, server)
		handleInbox()
		fmt.Fprintf(&got, "== %s\n%s", testCase.name, lines)
	}
	fixture := newHandoverFixture(t)
	lines := captureLog(fixture.Server)
	fixture.successorJoined(fixture.link)
	fmt.Fprintf(&got, "== a successor joins\n%s", lines)
	fmt.Fprintf(&got, "== asked while it drains\n%v\n", errDraining)
	golden.RequireText(t, "log", got.String())
}

// The names of states in log lines, and the reasons of invalid requests, must not change.
func TestGoldenNames(t *testing.T) {
	var got strings.Builder
	for state := overload.StoreHealthy; state <= overload.StoreRecovering; state++ {
		fmt.Fprintf(&got, "store %d %q\n", state, storeStateName(state))
	}
	for _, state := range []overload.SheddingState{
		{},
		{Known: true},
		{Known: true, Threshold: 3},
		{Known: true, Full: true, Threshold: 3},
	} {
		fmt.Fprintf(&got, "threshold known %t, full %t, rank %v: %q\n",
			state.Known, state.Full, state.Threshold, sheddingStateName(&state))
	}
	for _, err := range []error{
		errTooManyOpenRequests,
		errDuplicateID,
		errCompletedID,
		errArrivalTime,
		errTimeout,
		errUnknownTenant,
		errMissingIdempotencyKey,
		errKeyConflict,
	} {
		fmt.Fprintf(&got, "wrong request: %v\n", err)
	}
	golden.RequireText(t, "names", got.String())
}
