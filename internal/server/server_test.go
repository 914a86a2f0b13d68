package server

import (
	"os"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/config"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// recordingConnection notes what it is handed.
type recordingConnection struct {
	received                    []any
	closeAttempts, failedCloses int // calls of End, and how many of them find that something has come
}

func (conn *recordingConnection) Answer(call uint32, a Answer) {
	conn.received = append(conn.received, a.Kind)
}
func (conn *recordingConnection) NotifyClosing() { conn.received = append(conn.received, "closing") }
func (conn *recordingConnection) Close()         { conn.received = append(conn.received, "close") }
func (conn *recordingConnection) PauseReading()  { conn.received = append(conn.received, "close") }
func (conn *recordingConnection) ResumeReading() { conn.received = append(conn.received, "resume") }
func (conn *recordingConnection) TryClose() bool {
	conn.received = append(conn.received, "end")
	conn.closeAttempts++
	return conn.closeAttempts > conn.failedCloses
}
func (conn *recordingConnection) MaxOpenCalls() int { return 2 }

// newIdleServer returns a server that does not run; do carries out what was posted to it.
func newIdleServer(t testing.TB) (server *Server, runPosted func()) {
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(t, err)
	cfg, err := config.Parse(text, func(string) string { return "" })
	require.NoError(t, err)
	log, _ := test.NewNullLogger()
	server = New(cfg, log)
	return server, func() {
		for server.inbox.waiting() > 0 {
			(<-server.inbox.events).handle(server)
		}
	}
}

// Before the agent is up nothing can be run: requests are refused and health is bad.
func TestBeforeAgentIsUp(t *testing.T) {
	server, runPosted := newIdleServer(t)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	server.Submit(conn, 1, Attempt{ID: "ab", Class: "preview", ArrivedAt: server.clock.now})
	server.HealthCheck(conn, 2, true)
	runPosted()
	require.Equal(t, []any{Rejected, Unhealthy}, conn.received)
	require.Empty(t, server.requests.byID)
	server.Drain()
	runPosted()
	require.Empty(t, server.admission.events) // they would keep the loop turning
	require.Equal(t, []any{Rejected, Unhealthy, "closing"}, conn.received)
}

// A deep check asks the agent only where the controller leaves the answer open.
func TestDeepCheck(t *testing.T) {
	server, runPosted := newIdleServer(t)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	server.health.healthy, server.health.cached = true, true
	server.HealthCheck(conn, 1, true)
	runPosted()
	require.Equal(t, []any{Healthy}, conn.received)
	server.health.cached = false
	server.HealthCheck(conn, 2, false)
	server.HealthCheck(conn, 3, true) // there is no link to the agent
	runPosted()
	require.Equal(t, []any{Healthy, Healthy, Unhealthy}, conn.received)
	server.health.deepChecks["x"] = healthCheck{conn, 4}
	server.completeDeepCheck("x", true)
	server.completeDeepCheck("x", true) // the limit, which comes too late
	require.Equal(t, []any{Healthy, Healthy, Unhealthy, Healthy}, conn.received)
}

// Idle connections are told to go, and closed where they don't; busy ones stay. Nothing is looked for before it
// can be due: a server at rest has no timer for it.
func TestIdleConnections(t *testing.T) {
	server, runPosted := newIdleServer(t)
	conn := &recordingConnection{}
	server.connections.idleTimer.timeout = time.Second
	advance := func(d time.Duration) {
		server.clock.now += d
		server.deadlines.Sweep(server.clock.now)
		server.scheduleIdleCheck()
	}
	server.scheduleIdleCheck()
	_, ticks := server.deadlines.Next()
	require.False(t, ticks)
	server.ConnectionOpened(conn)
	runPosted()
	server.scheduleIdleCheck()
	state := server.connections.get(conn)
	server.connections.openCall(state, 1, &activeRequest{})
	advance(2 * time.Second)
	advance(0)
	require.Empty(t, conn.received)
	server.connections.closeCall(state, 1)
	advance(minIdleCheckInterval)
	advance(minIdleCheckInterval)
	require.Equal(t, []any{"closing"}, conn.received)
	advance(closeGracePeriod - minIdleCheckInterval)
	require.Equal(t, []any{"closing"}, conn.received)
	advance(2 * minIdleCheckInterval)
	require.Equal(t, []any{"closing", "close"}, conn.received)
	require.Zero(t, server.connections.size())
	advance(0)
	_, ticks = server.deadlines.Next()
	require.False(t, ticks)
}

// The limit on idle time may become shorter while a look is set for much later.
func TestIdleLimitShrinks(t *testing.T) {
	server, runPosted := newIdleServer(t)
	conn := &recordingConnection{}
	server.connections.idleTimer.timeout = time.Hour
	server.ConnectionOpened(conn)
	runPosted()
	server.scheduleIdleCheck()
	server.dispatch(admission.Action{Kind: admission.ActionIdleTimeout, Duration: time.Second})
	server.scheduleIdleCheck()
	server.clock.now += time.Second
	server.deadlines.Sweep(server.clock.now)
	require.Equal(t, []any{"closing"}, conn.received)
}

// Old gauges are worse than none: the controller would act on a load that is long gone.
func TestGauges(t *testing.T) {
	server, _ := newIdleServer(t)
	server.gauges.record(server.clock.now, server.config.Gauges, []float64{0.5, 3, 0.25, 9, 7})
	want := admission.Gauges{CPUUtilization: 0.5, CPUDemand: 3, MemoryUtilization: 0.25, Connections: 9}
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	timer := func() admission.Gauges {
		server.admission.events = nil
		server.scheduleWake(server.clock.now)
		server.deadlines.Sweep(server.clock.now)
		return server.admission.events[0].Gauges
	}
	require.Equal(t, want, timer())
	server.clock.now += gaugeMaxAge + 1
	require.Equal(t, unknownGauges, timer())
	server.gauges.record(server.clock.now, server.config.Gauges, []float64{0.5})
	require.Equal(t, admission.Gauges{CPUUtilization: 0.5, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}, timer())
}

// The controller's clock must not go back when the system's does, nor stand still until that catches up.
func TestClock(t *testing.T) {
	at := time.Now()
	serverClock := clock{read: func() time.Time { return at }}
	began := serverClock.advance()
	require.Equal(t, time.Duration(at.UnixNano()), began)
	at = at.Round(0).Add(-time.Hour) // without its monotonic part
	require.Equal(t, began, serverClock.advance())
	require.Equal(t, began, serverClock.fromUnix(time.Duration(at.UnixNano())))
	at = at.Add(time.Second)
	require.Equal(t, began+time.Second, serverClock.advance())
	at = at.Add(2 * time.Hour)
	require.Equal(t, time.Duration(at.UnixNano()), serverClock.advance())
	require.Zero(t, serverClock.skew)
}

// Times that can't be are wrong requests: the controller would take an old one for hours spent unread and
// answer health checks badly, and one ahead of the clock would open the window of a key anew.
func TestImplausibleTimes(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	now, deadline := server.clock.now, server.config.Settings.Classes[0].Deadline
	for i, try := range []Attempt{
		{ArrivedAt: now + maxClockLead + time.Second, Timeout: time.Second},
		{ArrivedAt: 0, Timeout: time.Second},
		{ArrivedAt: now - deadline - arrivalSlack - time.Second, Timeout: time.Second},
		{ArrivedAt: now, Timeout: deadline + 1},
	} {
		try.ID, try.Class, try.MemoryKB = "ab", "preview", 1
		server.Submit(conn, uint32(i), try)
		runPosted()
	}
	require.Equal(t, []any{Invalid, Invalid, Invalid, Invalid}, conn.received)
	require.Empty(t, server.requests.byID)
}

// What a request carried is not kept for as long as its key: a long day would fill the memory with it.
func TestBodiesAreNotRetained(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	server.Submit(conn, 1, Attempt{ID: "ab", IdempotencyKey: "k", Class: "licence-order", ArrivedAt: server.clock.now, Timeout: time.Second, MemoryKB: 1, Body: []byte("x")})
	runPosted()
	server.step()
	r := server.requests.byAttemptID["ab"]
	require.True(t, r.running())
	require.Nil(t, r.attempt.Body)
	server.completeRun(r, admission.OutcomeOK, nil)
	require.Empty(t, server.requests.byID)
	require.Equal(t, 1, server.idempotency.size())
	server.clock.now += server.config.Settings.Classes[2].IdempotencyWindow + server.config.maxArrivalAge() + windowSlack
	server.deadlines.Sweep(server.clock.now)
	require.Zero(t, server.idempotency.size())
}

// A full table closes first what never sent anything of use, then what was told to go, then what has been idle for
// longest, and never a connection with an open request.
func TestFullConnectionTable(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.config.Limits.Sockets = 2 * (reservedConnections + 4)
	busy, quiet, silent, notified := &recordingConnection{}, &recordingConnection{}, &recordingConnection{}, &recordingConnection{}
	for _, conn := range []*recordingConnection{busy, quiet, silent, notified} {
		server.ConnectionOpened(conn)
	}
	runPosted()
	server.connections.openCall(server.connections.get(busy), 1, &activeRequest{})
	server.HealthCheck(quiet, 1, false)
	server.HealthCheck(notified, 1, false)
	runPosted()
	server.clock.now++
	server.notifyClosing(server.connections.get(notified))
	server.connections.touch(server.connections.get(silent), server.clock.now) // the last that came
	openBusy := func() *recordingConnection {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		runPosted()
		if state := server.connections.get(conn); state != nil {
			server.connections.openCall(state, 1, &activeRequest{})
		}
		return conn
	}
	openBusy()
	require.Equal(t, []any{"close"}, silent.received)
	openBusy()
	require.Equal(t, []any{Unhealthy, "closing", "close"}, notified.received)
	openBusy()
	require.Equal(t, []any{Unhealthy, "close"}, quiet.received)
	require.Equal(t, []any{"close"}, openBusy().received)
	require.Empty(t, busy.received)
	require.Equal(t, 4, server.connections.size())
}
