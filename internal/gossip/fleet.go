package gossip

import (
	"context"
	"fmt"
	"log"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/logging"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

const (
	updateQueueLength     = 1024 // updates of others that wait for the goroutine that owns the view
	dialResultQueueLength = 8
)

// Config is what a process needs to be a member of a fleet.
type Config struct {
	Place         fleet.Place // Addr: where others reach it
	Listen        string      // IP and port for TCP and UDP
	Seeds         []string
	Keys          [][]byte // the first one encrypts; none: no encryption
	Digest        uint64   // of the configuration
	Size          int      // expected members, for pacing
	Limits        fleet.Limits
	ProbeInterval time.Duration // of the failure detection
	Seed          uint64        // of the random delays of dials

	Incarnation uint64                        // from the system's clock at the start
	Transport   memberlist.NodeAwareTransport // nil: sockets at Listen
}

// Fleet is this process's membership of a fleet. Its methods say which goroutine may call them; Run is called once.
type Fleet struct {
	Counters Counters

	config     Config
	log        logrus.FieldLogger
	warn       *logging.Limiter
	startedAt  time.Time
	keyring    *memberlist.Keyring // nil: no encryption
	transport  *countingTransport  // set by Listen
	memberlist *memberlist.Memberlist
	broadcasts broadcastQueues

	// Events for the goroutine that owns the view.
	statuses    chan fleet.Status
	changes     chan ReloadableConfig
	updates     chan recordUpdate
	dialResults chan dialResult
	reach       reachChanges

	// Work and messages for other goroutines.
	dialRounds     chan []dialTarget
	directMessages chan directMessage
	messageHandler atomic.Pointer[func(b []byte)]
	snapshot       atomic.Pointer[fleet.Snapshot]

	owner *viewOwner // belongs to the goroutine that Run starts for it
}

// New returns a membership that starts with Listen and Run. An error names the key of [fleet] in the operators' file
// that is at fault.
func New(config Config, logger logrus.FieldLogger) (*Fleet, error) {
	keyring, err := newKeyring(config.Keys)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(config.Seed, config.Place.Run))
	member := &Fleet{
		config:         config,
		log:            logger,
		warn:           logging.NewLimiter(logger),
		startedAt:      time.Now(),
		keyring:        keyring,
		statuses:       make(chan fleet.Status, 1),
		changes:        make(chan ReloadableConfig, 1),
		updates:        make(chan recordUpdate, updateQueueLength),
		dialResults:    make(chan dialResult, dialResultQueueLength),
		reach:          newReachChanges(),
		dialRounds:     make(chan []dialTarget, 1),
		directMessages: make(chan directMessage, directQueueLength),
	}
	member.broadcasts.init(func() int { return len(member.Snapshot().Members) })
	member.owner = newViewOwner(member, fleet.NewRejoin(config.Seeds, random))
	return member, nil
}

// Listen opens the sockets. Run does so where it was not called.
func (f *Fleet) Listen() error {
	transport := f.config.Transport
	if transport == nil {
		bound, err := listen(f.config.Listen, log.New(logWriter{f}, "", 0))
		if err != nil {
			return fmt.Errorf("fleet.listen: %w", err)
		}
		transport = bound
	}
	f.transport = &countingTransport{NodeAwareTransport: transport, counters: &f.Counters}
	return nil
}

// Run is a member of the fleet until ctx ends, and then leaves it.
func (f *Fleet) Run(ctx context.Context) error {
	if f.transport == nil {
		if err := f.Listen(); err != nil {
			return err
		}
	}
	list, err := memberlist.Create(f.memberlistConfig())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.memberlist = list
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.runDialRounds(ctx) })
	g.Go(func() error { return f.sendDirectMessages(ctx) })
	g.Go(func() error {
		defer cancel()
		f.owner.ownView(ctx)
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// Now is the time on this process's clock, as in snapshots. The clock runs on while the process is stopped. Any
// goroutine may call it.
func (f *Fleet) Now() time.Duration { return time.Since(f.startedAt) }

// Snapshot is the view of the fleet; it is never nil and never changes. Any goroutine may call it.
func (f *Fleet) Snapshot() *fleet.Snapshot { return f.snapshot.Load() }

// Publish publishes the status of the loop. It never blocks: a status that was not taken yet is replaced. One
// goroutine may call it.
func (f *Fleet) Publish(status fleet.Status) { replaceLatest(f.statuses, status) }

// replaceLatest sends value to a channel with room for one, in place of a value that waits there. There is one sender.
func replaceLatest[T any](latest chan T, value T) {
	select {
	case <-latest:
	default:
	}
	latest <- value
}
