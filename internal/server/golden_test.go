package server

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
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

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// requireGolden compares got, all cases of a table, byte for byte with the golden file of that name.
func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// logsTo has s log to the buffer that is returned, as a process does whose standard error is a file, but for the time.
func logsTo(s *Server) *bytes.Buffer {
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetLevel(logrus.DebugLevel)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	s.log, s.warn, s.trails = log, logging.NewLimiter(log), debugs(log)
	return &lines
}

// The line of a request at the level debug: by how it ended, why, and how its last call did.
func TestGoldenTrail(t *testing.T) {
	s, _ := idle(t)
	lines := logsTo(s)
	at := s.clock.now - 40*time.Millisecond
	try := Attempt{ID: "a1", Class: "licence-order", Client: 2, ArrivedAt: at, Timeout: 2 * time.Second, CostHint: 70 * time.Millisecond}
	for _, kind := range []AnswerKind{Served, Rejected, Failed, Invalid} {
		s.leavesTrail(&request{try: try, class: 2}, answerNames[kind])
	}
	once := try
	once.IdempotencyKey = "order 7"
	s.leavesTrail(&request{try: once, class: 2, running: true, began: at + 10*time.Millisecond}, answerNames[Served])
	for why := admission.ReasonCPU; why <= admission.ReasonBelowThreshold; why++ {
		s.leavesTrail(&request{try: try, trail: trail{why: why.String()}}, answerNames[Rejected])
	}
	for reply := store.OK; int(reply) < len(outcomes); reply++ {
		s.leavesTrail(&request{try: try, running: true, began: at, trail: trail{calls: 3, inCall: 15 * time.Millisecond,
			reply: replyNames[outcomes[reply]]}}, answerNames[Served])
	}
	requireGolden(t, "trail", lines.String())
}

// The trail of requests that go their way: given up, in a call that has not ended, gone.
func TestGoldenTrailOfRequests(t *testing.T) {
	s, do := idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	p := &peer{}
	s.ConnectionOpened(p)
	lines := logsTo(s)
	submit := func(call uint32, id string) *request {
		s.Submit(p, call, Attempt{ID: id, IdempotencyKey: id, Class: "licence-order", ArrivedAt: s.clock.now - 5*time.Millisecond, Timeout: 2 * time.Second, MemoryKB: 1})
		do()
		s.step()
		return s.byWire[id]
	}
	s.fail(submit(1, "a1"))
	submit(2, "a2")
	s.wantsCall(agent.Notification{RequestID: "a2", Payload: []byte("x")})
	s.step()
	s.ReadEnded(p, Disconnected)
	do()
	requireGolden(t, "trail_of_requests", lines.String())
}

// Lines that operators are told to look for.
func TestGoldenLog(t *testing.T) {
	var got strings.Builder
	for _, c := range []struct {
		name string
		act  func(t *testing.T, s *Server)
	}{
		{"the agent is up", func(_ *testing.T, s *Server) {
			s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady, Elapsed: time.Minute})
		}},
		{"the agent is booting", func(_ *testing.T, s *Server) {
			s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Booting, Elapsed: time.Second})
		}},
		{"settings that no controller takes", func(_ *testing.T, s *Server) {
			s.cfg.Settings.Cores = 0
			s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
		}},
		{"a command that the agent did not carry out", func(_ *testing.T, s *Server) {
			s.commandRefused(agent.Notification{RequestID: "a1", Result: "launch"})
		}},
		{"a wrong request", func(_ *testing.T, s *Server) { s.invalid(&peer{}, 1, errTooMany) }},
		{"an action that can't be carried out", func(_ *testing.T, s *Server) {
			s.requests[1] = &request{}
			s.route(admission.Action{Kind: admission.ActionAdvertise, ID: 1})
		}},
		{"a report of the controller", func(_ *testing.T, s *Server) {
			s.route(admission.Action{Kind: admission.ActionLog, Text: "breaker drops calls: begins"})
		}},
		{"reload", func(_ *testing.T, s *Server) { s.Reload(s.cfg, nil) }},
		{"reload of a file that is wrong", func(_ *testing.T, s *Server) {
			s.Reload(nil, errors.New("settings.Lanes[0].DeadlineUs: want more than 0"))
		}},
		{"SIGTERM", func(_ *testing.T, s *Server) { s.Drain() }},
		{"SIGTERM with a newer process", func(_ *testing.T, s *Server) {
			s.newer = &handover.Link{}
			s.Drain()
		}},
		{"the older process ends", func(_ *testing.T, s *Server) {
			s.older = &handover.Link{}
			s.partnerEnded(s.older)
		}},
		{"SIGUSR1", func(_ *testing.T, s *Server) {
			s.stats = stats.Counters{Requests: 7}
			s.printStats()
		}},
		{"SIGUSR1 in a fleet", func(_ *testing.T, s *Server) {
			s.JoinFleet(&told{view: fleet.NewView("n3", fleet.Limits{Members: 4})})
			s.printFleet()
		}},
		{"a message of another member that can't be read", func(_ *testing.T, s *Server) {
			f := &told{view: fleet.NewView("n3", fleet.Limits{Members: 4})}
			s.JoinFleet(f)
			f.hear([]byte("noise"))
		}},
		{"a drill", func(t *testing.T, s *Server) { require.True(t, s.StallLoop(0)) }},
		{"a change of state", func(_ *testing.T, s *Server) {
			s.JoinFleet(&told{view: fleet.NewView("n3", fleet.Limits{Members: 4})})
			s.changed(logrus.InfoLevel, "what", "", "full", logrus.Fields{"place": 3})
		}},
		{"the store fails, as this member finds it", func(_ *testing.T, s *Server) {
			s.JoinFleet(&told{view: fleet.NewView("n3", fleet.Limits{Members: 4})})
			s.EnableCoordinatedProbes(1, "mechelen")
			s.keepProbing() // it has learnt which store that is
			for range 100 {
				s.probed(store.ConnectionBroken)
			}
			s.keepProbing()
		}},
		{"the fleet is full", func(_ *testing.T, s *Server) {
			f := &told{view: fleet.NewView("n3", fleet.Limits{Members: 4}), now: time.Second}
			f.view.Merge(f.now, 0, fleet.Record{Name: "n4", Run: 7, Seq: 1, State: fleet.Serving,
				Load: fleet.Load{Capacity: 30, ServiceRate: 100, Demand: string([]byte{40, 250, 250})}})
			f.view.ObserveReach(f.now, "n4", 7, fleet.Reached)
			s.JoinFleet(f)
			s.EnableShedding(overload.ProcessID{Name: "n3", Run: 1})
			s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
			s.keepCutoff()
		}},
	} {
		s, do := idle(t)
		lines := logsTo(s)
		c.act(t, s)
		do()
		fmt.Fprintf(&got, "== %s\n%s", c.name, lines)
	}
	o := withPartner(t)
	lines := logsTo(o.Server)
	o.joinedNewer(o.link)
	fmt.Fprintf(&got, "== a newer process joins\n%s", lines)
	fmt.Fprintf(&got, "== asked while it leaves\n%v\n", errOver)
	requireGolden(t, "log", got.String())
}

// Names of states in the lines that tell changes, and the reasons for which a request is answered as wrong.
func TestGoldenNames(t *testing.T) {
	var got strings.Builder
	for state := overload.StoreHealthy; state <= overload.StoreRecovering; state++ {
		fmt.Fprintf(&got, "store %d %q\n", state, storeName(state))
	}
	for _, cut := range []overload.Threshold{{}, {Known: true}, {Known: true, Priority: 3}, {Known: true, Full: true, Priority: 3}} {
		fmt.Fprintf(&got, "cutoff known %t, full %t, place %v: %q\n", cut.Known, cut.Full, cut.Priority, cutState(&cut))
	}
	for _, err := range []error{errTooMany, errDuplicate, errSpent, errAt, errWait, errTenant, errNoOnce, errOtherOrder} {
		fmt.Fprintf(&got, "wrong request: %v\n", err)
	}
	requireGolden(t, "names", got.String())
}
