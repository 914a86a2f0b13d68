package server

import (
	"context"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/announce"
	"falldeal/internal/config"
	"falldeal/internal/deadline"
	"falldeal/internal/handover"
	"falldeal/internal/logging"
	"falldeal/internal/stats"
	"falldeal/internal/store"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// unknownName is the String result for a value that is none of its type's constants.
const unknownName = "unknown"

// Server is one image server. The event loop owns all of its state; other goroutines send events to its inbox.
type Server struct {
	log           logrus.FieldLogger
	warnings      *logging.Limiter
	traceRequests bool // log a trace line for each request

	inbox     inbox
	clock     clock
	deadlines *deadline.Queue
	agent     *agent.Link
	store     *store.Link
	announcer *announce.Announcer
	stats     stats.Counters

	config      configuration
	admission   admissionState
	requests    requestTable
	completed   completedIDs
	idempotency idempotencyTable
	connections connectionTable
	health      healthState
	gauges      gaugeReading
	listeners   listenerSet
	drain       drainState
	handover    handoverState
	processes   processWatch
	callShare   callShare
	member      *fleetMember // nil if the server is in no fleet
}

// New returns a Server that does nothing before Run.
func New(cfg *config.Config, log logrus.FieldLogger) *Server {
	server := &Server{
		log:           log,
		warnings:      logging.NewLimiter(log),
		traceRequests: debugEnabled(log),
		inbox:         newInbox(),
		clock:         clock{read: time.Now},
		deadlines:     deadline.New(),
		config:        newConfiguration(cfg),
		requests:      newRequestTable(),
		completed:     newCompletedIDs(cfg.Limits.MemoryMB),
		idempotency:   newIdempotencyTable(maxResultBytes(cfg.Limits.MemoryMB, 1)),
		connections:   newConnectionTable(cfg.Settings.IdleTimeout),
		health:        newHealthState(),
		gauges:        gaugeReading{values: admission.UnknownGauges()},
		listeners:     listenerSet{accepting: make(chan struct{})},
		handover:      newHandoverState(),
		processes:     newProcessWatch(),
		callShare:     newCallShare(),
	}
	for _, name := range cfg.Classes {
		server.stats.Class(name)
	}
	server.idempotency.observer = server
	server.idempotency.deadlines = server.deadlines
	server.clock.advance()
	server.createLinks(cfg)
	return server
}

// createLinks creates the links to the agent, the store and the announce service. They send nothing before Run.
func (s *Server) createLinks(cfg *config.Config) {
	now := func() time.Duration { return s.clock.now }
	s.agent = agent.New(
		agent.Config{Address: cfg.Agent, Gauges: cfg.Gauges, Seed: cfg.Seed},
		agent.Loop{Post: s.post, Now: now},
		agent.Handler{
			OnNotification:        s.handleAgentNotification,
			OnLost:                s.handleRunsLost,
			OnReplyUnacknowledged: s.handleReplyUnacknowledged,
		},
		s.warnings)
	loop := store.Loop{Post: s.post, Now: now, Deadlines: s.deadlines}
	s.store = store.New(
		store.Config{Address: cfg.Store, MaxConnections: cfg.Limits.MaxStoreConnections(), Seed: cfg.Seed},
		loop, s.handleCallEnded, s.warnings)
	s.announcer = announce.New(cfg.Announce, cfg.Name, s.warnings)
}

// Run serves fronts until a drain is complete or ctx ends.
func (s *Server) Run(ctx context.Context, fronts ...Front) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	s.listeners.fronts = fronts
	s.listeners.serving = len(fronts)
	for _, front := range fronts {
		g.Go(func() error { return s.serveFront(ctx, g, front) })
	}
	if path := s.config.HandoverPath; path != "" {
		g.Go(func() error {
			return handover.Run(ctx, path, s.listeners.accepting, s.handoverLoop(), s.warnings)
		})
	} else {
		s.listeners.open()
	}
	for _, run := range []func(context.Context){s.agent.Run, s.store.Run, s.announcer.Run} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	g.Go(func() error {
		defer cancel()
		s.loop(ctx)
		return nil
	})
	return g.Wait() //nolint:wrapcheck // each function says what failed
}

// serveFront serves a front once connections may be accepted.
func (s *Server) serveFront(ctx context.Context, g *errgroup.Group, front Front) error {
	select {
	case <-s.listeners.accepting:
	case <-ctx.Done():
		return nil
	}
	defer s.post(func() { s.listeners.serving-- })
	return front.Serve(ctx, g, s) //nolint:wrapcheck // the front says what failed
}

// Ended returns a channel that is closed when the event loop has ended. By then all requests that were read are answered.
// The last answers may still have to be written, for which the process waits FinalWriteTimeout at most.
func (s *Server) Ended() <-chan struct{} { return s.inbox.closed }

// LogCounters logs the counters. It may be called from any goroutine.
func (s *Server) LogCounters() { s.post(s.logCounters) }

func (s *Server) logCounters() {
	s.stats.AgentConnections = s.agent.ConnectionsOpened()
	s.stats.RepliesUnacknowledged = s.agent.RepliesUnacknowledged()
	s.stats.StoreConnections = s.store.ConnectionsOpened()
	s.stats.Log(s.log, stats.Gauges{
		ActiveRequests:  s.requests.size(),
		RunningRequests: s.requests.running(),
		IdempotencyKeys: s.idempotency.size(),
		Connections:     s.connections.size(),
		Processes:       s.processes.alive,
		CallUnits:       s.callShare.usable,
		RetainedKB:      s.idempotency.resultBytes >> 10,
		Tables:          s.tables(),
	})
	s.logFleet()
}
