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

const inboxCapacity = 1024 // messages that wait for the loop

// activeRequest is one try from its intake until nothing more is to come about it.
type activeRequest struct {
	id                admission.RequestID
	attempt           Attempt
	class             int
	tenant            int
	connection        Connection
	call              uint32        // its number on that connection
	idempotencyWindow time.Duration // in which it may come again and must not run twice

	answered  bool // or nobody waits for an answer any more
	running   bool // the agent was told to run it
	claiming  bool // it waits for word on its key
	startedAt time.Duration

	callBody      []byte // body of the call that its run waits for
	callOffset    int64  // of the notice that asked for that call
	callStartedAt time.Duration
	trace         requestTrace
}

// Server is one image server. All of its state belongs to the loop; other goroutines hand functions
// to it over a bounded channel.
type Server struct {
	config        *config.Config
	log           logrus.FieldLogger
	warnings      *logging.Limiter
	traceRequests bool // a line for each request
	inbox         chan func()
	done          chan struct{} // closed when the loop is over

	clock     clock
	deadlines *deadline.Queue
	agent     *agent.Link
	store     *store.Link
	announcer *announce.Announcer
	stats     stats.Counters

	controller *admission.Controller // nil until the agent is up
	events     []admission.Event     // for the next step
	actions    []admission.Action

	classes       map[string]int
	tenants       map[string]int
	maxTimeout    time.Duration // longest deadline so far
	requests      map[admission.RequestID]*activeRequest
	requestsByID  map[string]*activeRequest
	completed     completedIDs
	lastRequestID admission.RequestID
	idempotency   idempotencyTable
	connections   connectionTable
	idleTimer     idleTimer

	healthy, healthCached bool // health, as the controller wants it answered
	deregistered          bool // by an operator
	deepChecks            map[string]healthCheck
	lastCheckToken        uint64
	gauges                admission.Gauges
	gaugesAt              time.Duration

	fronts        []Front
	servingFronts int           // fronts that may still accept
	accepting     chan struct{} // closed once they accept
	opened        bool
	drain         drainState
	handoverState
	member *fleetMember
}

// New returns a Server; nothing happens before Run.
func New(cfg *config.Config, log logrus.FieldLogger) *Server {
	server := &Server{config: cfg, log: log, warnings: logging.NewLimiter(log), traceRequests: debugEnabled(log), inbox: make(chan func(), inboxCapacity),
		done: make(chan struct{}), clock: clock{read: time.Now}, deadlines: deadline.New(),
		classes: map[string]int{}, tenants: map[string]int{}, requests: map[admission.RequestID]*activeRequest{}, requestsByID: map[string]*activeRequest{},
		accepting: make(chan struct{}), handoverState: handoverState{claims: map[string][]*activeRequest{}},
		idempotency: newIdempotencyTable(cfg.Limits.MemoryMB), connections: newConnectionTable(), deepChecks: map[string]healthCheck{},
		idleTimer: idleTimer{timeout: cfg.Settings.IdleTimeout},
		gauges:    unknownGauges}
	for i := range cfg.Classes {
		server.addClass(i)
	}
	server.indexTenants()
	server.raiseMaxTimeout()
	server.idempotency.publish = server.publishKeyChange
	server.clock.advance()
	server.agent = agent.New(cfg.Agent, cfg.Seed, server.post, server.handleAgentNotification, server.warnings)
	server.agent.Watch(func() time.Duration { return server.clock.now }, server.handleRunsLost)
	server.store = store.New(cfg.Store, cfg.Limits.StoreSockets(), cfg.Seed, store.Loop{Post: server.post, Now: func() time.Duration { return server.clock.now },
		Deadlines: server.deadlines}, server.handleCallEnded, server.warnings)
	server.announcer = announce.New(cfg.Announce, cfg.Name, server.warnings)
	return server
}

// Run serves front ends until a drain is over or ctx ends.
func (s *Server) Run(ctx context.Context, fronts ...Front) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	s.fronts = fronts
	s.servingFronts = len(fronts)
	for _, front := range fronts {
		g.Go(func() error {
			select {
			case <-s.accepting:
			case <-ctx.Done():
				return nil
			}
			defer s.post(func() { s.servingFronts-- })
			return front.Serve(ctx, g, s)
		})
	}
	if s.config.Handover != "" {
		g.Go(func() error { return handover.Run(ctx, s.config.Handover, s.accepting, s.handoverLoop(), s.warnings) })
	} else {
		s.openFronts()
	}
	g.Go(func() error { return s.agent.Run(ctx) })
	g.Go(func() error { return s.store.Run(ctx) })
	g.Go(func() error { return s.announcer.Run(ctx) })
	g.Go(func() error {
		defer cancel()
		s.loop(ctx)
		return nil
	})
	return g.Wait()
}

// openFronts has front ends accepted.
func (s *Server) openFronts() {
	if !s.opened {
		s.opened = true
		close(s.accepting)
	}
}

// post hands f to the loop. It blocks while the loop is behind, and gives up once that is over.
func (s *Server) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.done:
	}
}

// maxEventsPerTurn is how many functions a turn takes from the input: what falls due and what was decided does not wait
// for all that a burst has brought. At 10 us each it is a fraction of the 20 ms by which answers go out early.
const maxEventsPerTurn = 128

// loop takes turns until a drain is over or ctx ends.
func (s *Server) loop(ctx context.Context) {
	defer close(s.done)
	defer s.shutDown()
	s.checkAgentUntilUp()
	s.publishPeriodically()
	s.tickQuota()
	s.tickShedding()
	s.tickProbes()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !s.finished() {
		if len(s.events) > 0 {
			timer.Reset(0) // actions of the last turn have ended in events of their own
		} else if at, ok := s.deadlines.Next(); ok {
			timer.Reset(max(at-s.clock.advance(), 0))
		}
		select {
		case <-ctx.Done():
			return
		case f := <-s.inbox:
			s.clock.advance()
			f()
		case <-timer.C:
		}
		s.turn()
	}
}

// turn drains the input, sweeps the deadlines, has the controller take one step and carries out its actions.
func (s *Server) turn() {
	s.clock.advance()
	for n := min(len(s.inbox), maxEventsPerTurn); n > 0; n-- {
		(<-s.inbox)()
	}
	s.clock.advance()
	s.deadlines.Sweep(s.clock.now)
	s.stats.Turns++
	s.step()
	s.advanceClosing()
	s.scheduleIdleCheck()
}

// step has the controller decide on what happened, and carries out its actions.
func (s *Server) step() {
	if s.controller == nil || len(s.events) == 0 {
		return
	}
	s.actions = s.controller.Step(s.clock.now, s.events, s.actions[:0])
	s.events = s.events[:0]
	for _, a := range s.actions {
		s.dispatch(a)
	}
}

// enqueueEvent has the next step deal with e. Before there is a controller nothing can happen to it.
func (s *Server) enqueueEvent(e admission.Event) {
	if s.controller != nil {
		s.events = append(s.events, e)
	}
}

// Ended is closed when all has been answered, or time is up. What is left is to write the last answers,
// for which there is FinalWriteTimeout.
func (s *Server) Ended() <-chan struct{} { return s.done }

// PrintStats logs the counters.
func (s *Server) PrintStats() { s.post(s.logStats) }

func (s *Server) logStats() {
	running := 0
	for _, r := range s.requests {
		if r.running {
			running++
		}
	}
	s.stats.AgentLinks, s.stats.StoreLinks = s.agent.ConnectionsOpened(), s.store.ConnectionsOpened()
	s.stats.Print(s.log, len(s.requests), running, s.idempotency.size(), s.connections.size())
	s.logFleet()
}
