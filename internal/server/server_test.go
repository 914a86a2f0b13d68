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

// peer notes what it is handed.
type peer struct {
	got          []any
	looks, comes int // calls of End, and how many of them find that something has come
}

func (p *peer) Answer(call uint32, a Answer) { p.got = append(p.got, a.Kind) }
func (p *peer) NotifyClosing()               { p.got = append(p.got, "closing") }
func (p *peer) Close()                       { p.got = append(p.got, "close") }
func (p *peer) PauseReading()                { p.got = append(p.got, "close") }
func (p *peer) ResumeReading()               { p.got = append(p.got, "resume") }
func (p *peer) TryClose() bool               { p.got = append(p.got, "end"); p.looks++; return p.looks > p.comes }
func (p *peer) MaxOpenCalls() int            { return 2 }

// idle returns a server that does not run; do carries out what was posted to it.
func idle(t testing.TB) (s *Server, do func()) {
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(t, err)
	cfg, err := config.Parse(text, func(string) string { return "" })
	require.NoError(t, err)
	log, _ := test.NewNullLogger()
	s = New(cfg, log)
	return s, func() {
		for len(s.in) > 0 {
			(<-s.in)()
		}
	}
}

// Before the agent is up nothing can be run: requests are refused and health is bad.
func TestBeforeTheAgentIsUp(t *testing.T) {
	s, do := idle(t)
	p := &peer{}
	s.ConnectionOpened(p)
	s.Submit(p, 1, Attempt{ID: "ab", Class: "preview", ArrivedAt: s.clock.now})
	s.HealthCheck(p, 2, true)
	do()
	require.Equal(t, []any{Rejected, Unhealthy}, p.got)
	require.Empty(t, s.requests)
	s.Drain()
	do()
	require.Empty(t, s.events) // they would keep the loop turning
	require.Equal(t, []any{Rejected, Unhealthy, "closing"}, p.got)
}

// A deep check asks the agent only where the controller leaves the answer open.
func TestDeepCheck(t *testing.T) {
	s, do := idle(t)
	p := &peer{}
	s.ConnectionOpened(p)
	s.good, s.stored = true, true
	s.HealthCheck(p, 1, true)
	do()
	require.Equal(t, []any{Healthy}, p.got)
	s.stored = false
	s.HealthCheck(p, 2, false)
	s.HealthCheck(p, 3, true) // there is no link to the agent
	do()
	require.Equal(t, []any{Healthy, Healthy, Unhealthy}, p.got)
	s.exercises["x"] = probe{p, 4}
	s.exercised("x", true)
	s.exercised("x", true) // the limit, which comes too late
	require.Equal(t, []any{Healthy, Healthy, Unhealthy, Healthy}, p.got)
}

// Idle connections are told to go, and closed where they don't; busy ones stay. Nothing is looked for before it
// can be due: a server at rest has no timer for it.
func TestIdleConnections(t *testing.T) {
	s, do := idle(t)
	p := &peer{}
	s.watch.limit = time.Second
	pass := func(d time.Duration) {
		s.clock.now += d
		s.deadlines.Sweep(s.clock.now)
		s.watchIdle()
	}
	s.watchIdle()
	_, ticks := s.deadlines.Next()
	require.False(t, ticks)
	s.ConnectionOpened(p)
	do()
	s.watchIdle()
	st := s.peers.of(p)
	s.peers.open(st, 1, &request{})
	pass(2 * time.Second)
	pass(0)
	require.Empty(t, p.got)
	s.peers.settle(st, 1)
	pass(idleCheck)
	pass(idleCheck)
	require.Equal(t, []any{"closing"}, p.got)
	pass(closingGrace - idleCheck)
	require.Equal(t, []any{"closing"}, p.got)
	pass(2 * idleCheck)
	require.Equal(t, []any{"closing", "close"}, p.got)
	require.Zero(t, s.peers.size())
	pass(0)
	_, ticks = s.deadlines.Next()
	require.False(t, ticks)
}

// The limit on idle time may become shorter while a look is set for much later.
func TestIdleLimitShrinks(t *testing.T) {
	s, do := idle(t)
	p := &peer{}
	s.watch.limit = time.Hour
	s.ConnectionOpened(p)
	do()
	s.watchIdle()
	s.route(admission.Action{Kind: admission.ActionIdleTimeout, Duration: time.Second})
	s.watchIdle()
	s.clock.now += time.Second
	s.deadlines.Sweep(s.clock.now)
	require.Equal(t, []any{"closing"}, p.got)
}

// Old gauges are worse than none: the controller would act on a load that is long gone.
func TestGauges(t *testing.T) {
	s, _ := idle(t)
	s.sampled([]float64{0.5, 3, 0.25, 9, 7})
	want := admission.Gauges{CPUUtilization: 0.5, CPUDemand: 3, MemoryUtilization: 0.25, Connections: 9}
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	timer := func() admission.Gauges {
		s.events = nil
		s.wake(s.clock.now)
		s.deadlines.Sweep(s.clock.now)
		return s.events[0].Gauges
	}
	require.Equal(t, want, timer())
	s.clock.now += gaugesFresh + 1
	require.Equal(t, unknownGauges, timer())
	s.sampled([]float64{0.5})
	require.Equal(t, admission.Gauges{CPUUtilization: 0.5, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}, timer())
}

// The controller's clock must not go back when the system's does, nor stand still until that catches up.
func TestClock(t *testing.T) {
	at := time.Now()
	c := clock{read: func() time.Time { return at }}
	began := c.advance()
	require.Equal(t, time.Duration(at.UnixNano()), began)
	at = at.Round(0).Add(-time.Hour) // without its monotonic part
	require.Equal(t, began, c.advance())
	require.Equal(t, began, c.own(time.Duration(at.UnixNano())))
	at = at.Add(time.Second)
	require.Equal(t, began+time.Second, c.advance())
	at = at.Add(2 * time.Hour)
	require.Equal(t, time.Duration(at.UnixNano()), c.advance())
	require.Zero(t, c.skew)
}

// Times that can't be are wrong requests: the controller would take an old one for hours spent unread and
// answer health checks badly, and one ahead of the clock would open the window of a key anew.
func TestImplausibleTimes(t *testing.T) {
	s, do := idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	p := &peer{}
	s.ConnectionOpened(p)
	now, deadline := s.clock.now, s.cfg.Settings.Classes[0].Deadline
	for i, try := range []Attempt{
		{ArrivedAt: now + earlyMost + time.Second, Timeout: time.Second},
		{ArrivedAt: 0, Timeout: time.Second},
		{ArrivedAt: now - deadline - lateSpare - time.Second, Timeout: time.Second},
		{ArrivedAt: now, Timeout: deadline + 1},
	} {
		try.ID, try.Class, try.MemoryKB = "ab", "preview", 1
		s.Submit(p, uint32(i), try)
		do()
	}
	require.Equal(t, []any{Invalid, Invalid, Invalid, Invalid}, p.got)
	require.Empty(t, s.requests)
}

// What a request carried is not kept for as long as its key: a long day would fill the memory with it.
func TestBodiesAreNotKept(t *testing.T) {
	s, do := idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	p := &peer{}
	s.ConnectionOpened(p)
	s.Submit(p, 1, Attempt{ID: "ab", IdempotencyKey: "k", Class: "licence-order", ArrivedAt: s.clock.now, Timeout: time.Second, MemoryKB: 1, Body: []byte("x")})
	do()
	s.step()
	r := s.byWire["ab"]
	require.True(t, r.running)
	require.Nil(t, r.try.Body)
	s.finish(r, admission.OutcomeOK, nil)
	require.Empty(t, s.requests)
	require.Equal(t, 1, s.keys.size())
	s.clock.now += s.cfg.Settings.Classes[2].IdempotencyWindow + s.lateMost() + keySlack
	s.deadlines.Sweep(s.clock.now)
	require.Zero(t, s.keys.size())
}

// A full table closes first what never sent anything of use, then what was told to go, then what has been idle for
// longest, and never a connection with an open request.
func TestFullTable(t *testing.T) {
	s, do := idle(t)
	s.cfg.Limits.Sockets = 2 * (sparePeers + 4)
	busy, quiet, silent, leaving := &peer{}, &peer{}, &peer{}, &peer{}
	for _, p := range []*peer{busy, quiet, silent, leaving} {
		s.ConnectionOpened(p)
	}
	do()
	s.peers.open(s.peers.of(busy), 1, &request{})
	s.HealthCheck(quiet, 1, false)
	s.HealthCheck(leaving, 1, false)
	do()
	s.clock.now++
	s.tellClosing(s.peers.of(leaving))
	s.peers.use(s.peers.of(silent), s.clock.now) // the last that came
	one := func() *peer {
		p := &peer{}
		s.ConnectionOpened(p)
		do()
		if st := s.peers.of(p); st != nil {
			s.peers.open(st, 1, &request{})
		}
		return p
	}
	one()
	require.Equal(t, []any{"close"}, silent.got)
	one()
	require.Equal(t, []any{Unhealthy, "closing", "close"}, leaving.got)
	one()
	require.Equal(t, []any{Unhealthy, "close"}, quiet.got)
	require.Equal(t, []any{"close"}, one().got)
	require.Empty(t, busy.got)
	require.Equal(t, 4, s.peers.size())
}
