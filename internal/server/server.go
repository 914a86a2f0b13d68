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

const inRoom = 1024 // messages that wait for the loop

// request is one try from its intake until nothing more is to come about it.
type request struct {
	id     admission.RequestID
	try    Attempt
	class  int
	tenant int
	peer   Connection
	call   uint32        // its number on that connection
	window time.Duration // in which it may come again and must not run twice

	answered bool // or nobody waits for an answer any more
	running  bool // the agent was told to run it
	claims   bool // it waits for word on its key
	began    time.Duration

	waits  []byte // body of the call that its run waits for
	offset int64  // of the notice that asked for that call
	asked  time.Duration
	trail  trail
}

// Server is one image server. All of its state belongs to the loop; other goroutines hand functions
// to it over a bounded channel.
type Server struct {
	cfg    *config.Config
	log    logrus.FieldLogger
	warn   *logging.Limiter
	trails bool // a line for each request
	in     chan func()
	ended  chan struct{} // closed when the loop is over

	clock     clock
	deadlines *deadline.Queue
	agent     *agent.Link
	store     *store.Link
	announcer *announce.Announcer
	stats     stats.Counters

	ctl     *admission.Controller // nil until the agent is up
	events  []admission.Event     // for the next step
	actions []admission.Action

	classes  map[string]int
	tenants  map[string]int
	mostWait time.Duration // longest deadline so far
	requests map[admission.RequestID]*request
	byWire   map[string]*request
	spent    spentIDs
	lastID   admission.RequestID
	keys     keyTable
	peers    peerTable
	watch    idleWatch

	good, stored bool // health, as the controller wants it answered
	withdrawn    bool // by an operator
	exercises    map[string]probe
	lastToken    uint64
	gauges       admission.Gauges
	gaugesAt     time.Duration

	fronts  []Front
	serving int           // fronts that may still accept
	open    chan struct{} // closed once they accept
	opened  bool
	drain   drainState
	partners
	member *member
}

// New returns a Server; nothing happens before Run.
func New(cfg *config.Config, log logrus.FieldLogger) *Server {
	s := &Server{cfg: cfg, log: log, warn: logging.NewLimiter(log), trails: debugs(log), in: make(chan func(), inRoom),
		ended: make(chan struct{}), clock: clock{read: time.Now}, deadlines: deadline.New(),
		classes: map[string]int{}, tenants: map[string]int{}, requests: map[admission.RequestID]*request{}, byWire: map[string]*request{},
		open: make(chan struct{}), partners: partners{claims: map[string][]*request{}},
		keys: newKeyTable(cfg.Limits.MemoryMB), peers: newPeerTable(), exercises: map[string]probe{},
		watch:  idleWatch{limit: cfg.Settings.IdleTimeout},
		gauges: unknownGauges}
	for i := range cfg.Classes {
		s.enlist(i)
	}
	s.nameTenants()
	s.admitWaits()
	s.keys.tell = s.tellPartners
	s.clock.advance()
	s.agent = agent.New(cfg.Agent, cfg.Seed, s.post, s.agentNotice, s.warn)
	s.agent.Watch(func() time.Duration { return s.clock.now }, s.runsLost)
	s.store = store.New(cfg.Store, cfg.Limits.StoreSockets(), cfg.Seed, store.Loop{Post: s.post, Now: func() time.Duration { return s.clock.now },
		Deadlines: s.deadlines}, s.callEnded, s.warn)
	s.announcer = announce.New(cfg.Announce, cfg.Name, s.warn)
	return s
}

// Run serves front ends until a drain is over or ctx ends.
func (s *Server) Run(ctx context.Context, fronts ...Front) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	s.fronts = fronts
	s.serving = len(fronts)
	for _, f := range fronts {
		g.Go(func() error {
			select {
			case <-s.open:
			case <-ctx.Done():
				return nil
			}
			defer s.post(func() { s.serving-- })
			return f.Serve(ctx, g, s)
		})
	}
	if s.cfg.Handover != "" {
		g.Go(func() error { return handover.Run(ctx, s.cfg.Handover, s.open, s.handoverLoop(), s.warn) })
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
		close(s.open)
	}
}

// post hands f to the loop. It blocks while the loop is behind, and gives up once that is over.
func (s *Server) post(f func()) {
	select {
	case s.in <- f:
	case <-s.ended:
	}
}

// turnMost is how many functions a turn takes from the input: what falls due and what was decided does not wait
// for all that a burst has brought. At 10 us each it is a fraction of the 20 ms by which answers go out early.
const turnMost = 128

// loop takes turns until a drain is over or ctx ends.
func (s *Server) loop(ctx context.Context) {
	defer close(s.ended)
	defer s.leave()
	s.awaitAgent()
	s.keepTelling()
	s.keepSharing()
	s.keepCutoff()
	s.keepProbing()
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
		case f := <-s.in:
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
	for n := min(len(s.in), turnMost); n > 0; n-- {
		(<-s.in)()
	}
	s.clock.advance()
	s.deadlines.Sweep(s.clock.now)
	s.stats.Turns++
	s.step()
	s.closeLeaving()
	s.watchIdle()
}

// step has the controller decide on what happened, and carries out its actions.
func (s *Server) step() {
	if s.ctl == nil || len(s.events) == 0 {
		return
	}
	s.actions = s.ctl.Step(s.clock.now, s.events, s.actions[:0])
	s.events = s.events[:0]
	for _, a := range s.actions {
		s.route(a)
	}
}

// happened has the next step deal with e. Before there is a controller nothing can happen to it.
func (s *Server) happened(e admission.Event) {
	if s.ctl != nil {
		s.events = append(s.events, e)
	}
}

// Ended is closed when all has been answered, or time is up. What is left is to write the last answers,
// for which there is FinalWriteTimeout.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// PrintStats logs the counters.
func (s *Server) PrintStats() { s.post(s.printStats) }

func (s *Server) printStats() {
	running := 0
	for _, r := range s.requests {
		if r.running {
			running++
		}
	}
	s.stats.AgentLinks, s.stats.StoreLinks = s.agent.ConnectionsOpened(), s.store.ConnectionsOpened()
	s.stats.Print(s.log, len(s.requests), running, s.keys.size(), s.peers.size())
	s.printFleet()
}
