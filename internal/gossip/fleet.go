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
	updateQueueLength     = 1024 // received updates that wait for the goroutine that owns the view
	dialResultQueueLength = 8    // dial results that wait for the same goroutine
)

// Config configures the membership of a process in a fleet.
type Config struct {
	Process       fleet.ProcessInfo // identity and location; Addr is the IP address and port at which other members reach it
	Listen        string            // IP address and port at which it listens, TCP and UDP
	Seeds         []string          // addresses that are dialed while no member at them is reached
	Keys          [][]byte          // encryption keys: the first one encrypts, all decrypt; none: no encryption
	Digest        uint64            // digest of the server's configuration
	Size          int               // expected number of members; the interval of full exchanges grows with it
	Limits        fleet.Limits
	ProbeInterval time.Duration // between two probes of the failure detection
	Seed          uint64        // random seed of the delays of dials

	Incarnation uint64                        // from the system clock at the start
	Transport   memberlist.NodeAwareTransport // nil: sockets at Listen
}

// Fleet is this process's membership of a fleet. Its methods say which goroutines may call them. Run is called once.
type Fleet struct {
	Counters Counters

	config     Config
	log        logrus.FieldLogger
	warnings   *logging.Limiter
	startedAt  time.Time              // origin of the process's clock, see Now
	keyring    *memberlist.Keyring    // nil: no encryption
	transport  *countingTransport     // set by Listen
	memberlist *memberlist.Memberlist // set by Run
	broadcasts broadcastQueues

	// Events for the goroutine that owns the view.
	statuses    chan fleet.Status     // latest status of the server loop
	reloads     chan ReloadableConfig // latest reloaded configuration
	updates     chan recordUpdate     // updates received from other members
	dialResults chan dialResult
	reach       reachChanges

	// Work and data for other goroutines.
	dialRounds     chan []dialTarget
	directMessages chan directMessage
	messageHandler atomic.Pointer[func(b []byte)] // receives direct messages; nil: they are ignored
	snapshot       atomic.Pointer[fleet.Snapshot] // last published snapshot

	owner *viewOwner // belongs to the goroutine that Run starts for it
}

// New returns a membership; Run starts it. An error names the key of table [fleet] in the operators' file that is invalid.
func New(config Config, logger logrus.FieldLogger) (*Fleet, error) {
	keyring, err := newKeyring(config.Keys)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(config.Seed, config.Process.Run))
	membership := &Fleet{
		config:         config,
		log:            logger,
		warnings:       logging.NewLimiter(logger),
		startedAt:      time.Now(),
		keyring:        keyring,
		statuses:       make(chan fleet.Status, 1),
		reloads:        make(chan ReloadableConfig, 1),
		updates:        make(chan recordUpdate, updateQueueLength),
		dialResults:    make(chan dialResult, dialResultQueueLength),
		reach:          newReachChanges(),
		dialRounds:     make(chan []dialTarget, 1),
		directMessages: make(chan directMessage, directQueueLength),
	}
	membership.broadcasts.init(func() int { return len(membership.Snapshot().Members) })
	membership.owner = newViewOwner(membership, fleet.NewRejoin(config.Seeds, random))
	return membership, nil
}

// Listen opens the sockets. Run calls it if the caller has not.
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

// Run makes the process a member of the fleet until ctx ends, and then leaves the fleet.
func (f *Fleet) Run(ctx context.Context) error {
	if f.transport == nil {
		if err := f.Listen(); err != nil {
			return err
		}
	}
	list, err := memberlist.Create(f.memberlistConfig())
	if err != nil {
		return fmt.Errorf("fleet: starting memberlist: %w", err)
	}
	f.memberlist = list
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.runDialRounds(ctx) })
	g.Go(func() error { return f.sendDirectMessages(ctx) })
	g.Go(func() error {
		defer cancel()
		f.owner.run(ctx)
		return nil
	})
	if err := g.Wait(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// Now returns the time since the membership was made by New. All times in snapshots are on this clock, which runs on while
// the process is suspended. Any goroutine may call Now.
func (f *Fleet) Now() time.Duration { return time.Since(f.startedAt) }

// Snapshot returns the last published snapshot of the view. It is never nil. Any goroutine may call Snapshot.
func (f *Fleet) Snapshot() *fleet.Snapshot { return f.snapshot.Load() }

// Publish sets the status of the server loop that the next records report. It never blocks: it replaces a status that was
// not taken yet. Only one goroutine may call it.
func (f *Fleet) Publish(status fleet.Status) { replaceLatest(f.statuses, status) }

// replaceLatest sends value to a channel with a buffer of one, and discards a value that waits there. The channel must have
// a single sender.
func replaceLatest[T any](latest chan T, value T) {
	select {
	case <-latest:
	default:
	}
	latest <- value
}
