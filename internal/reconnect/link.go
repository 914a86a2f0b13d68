package reconnect

import (
	"context"
	"net"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/latest"
	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

// Config is what a Link does not find out by itself.
type Config struct {
	MinBackoff     time.Duration // before the first dial after a failure
	MaxBackoff     time.Duration // before the next ones; a connection that lasts for longer counts as a success
	Seed           uint64        // of the jitter
	Purpose        uint64        // sets the jitter apart from that of other links with the same seed
	WriteQueueSize int           // messages that may wait to be written
}

// Handler deals with the connections of a Link. Its methods are called on goroutines of Run, those for one connection
// in the order below; connections to an old and a new address may overlap.
type Handler interface {
	// Opened takes over a connection to address for writing.
	Opened(address string, queue *writequeue.Queue)
	// Read reads from the connection until that fails; its error ends the connection.
	Read(conn net.Conn, queue *writequeue.Queue) error
	// Closed is called once a connection has ended.
	Closed(queue *writequeue.Queue)
	// Failed takes the error of a dial or connection, unless its address has been replaced.
	Failed(err error)
}

// Link keeps a connection open to one address that may be replaced. SetAddress and Address belong to one goroutine.
type Link struct {
	config    Config
	address   string
	addresses latest.Value[string] // for Run
}

// New returns a Link to address, which Run opens.
func New(address string, config Config) *Link {
	l := &Link{config: config, addresses: latest.New[string]()}
	l.SetAddress(address)
	return l
}

// Address returns the address in force.
func (l *Link) Address() string { return l.address }

// SetAddress has a connection opened to another address. The one before serves for DrainTimeout at most; it is for
// the Handler to close it as soon as the new one is open.
func (l *Link) SetAddress(address string) {
	if address == l.address {
		return
	}
	l.address = address
	l.addresses.Set(address)
}

// Run keeps a connection open to the address in force until ctx ends, and all its connections with that.
func (l *Link) Run(ctx context.Context, handler Handler) error {
	group, ctx := errgroup.WithContext(ctx)
	replace := func() {} // ends the use of the address in force so far
	defer func() { replace() }()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case address := <-l.addresses.C():
			replace()
			inForce, cancel := context.WithCancel(ctx)
			replace = cancel
			group.Go(func() error {
				l.maintainConnection(ctx, inForce, address, handler)
				return nil
			})
		}
	}
}

// maintainConnection opens connections to address, one after the other, until inForce ends.
func (l *Link) maintainConnection(ctx, inForce context.Context, address string, handler Handler) {
	delays := backoff.New(l.config.MinBackoff, l.config.MaxBackoff, l.config.Seed, l.config.Purpose)
	for inForce.Err() == nil {
		start := time.Now()
		if err := l.connect(ctx, inForce, address, handler); err != nil && inForce.Err() == nil {
			handler.Failed(err)
		}
		if time.Since(start) > l.config.MaxBackoff {
			delays.Reset()
		}
		select {
		case <-inForce.Done():
		case <-time.After(delays.Next()):
		}
	}
}

// connect serves one connection from its dial to its end, within DrainTimeout after that of inForce.
func (l *Link) connect(ctx, inForce context.Context, address string, handler Handler) error {
	conn, err := Dial(inForce, "tcp", address, DialTimeout)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(inForce, func() {
		// An error means that the connection is closed already.
		_ = conn.SetReadDeadline(time.Now().Add(DrainTimeout))
	})
	defer stop()
	queue := writequeue.New(conn, l.config.WriteQueueSize)
	err = Serve(ctx, queue, func() error {
		handler.Opened(address, queue)
		return handler.Read(conn, queue)
	})
	handler.Closed(queue)
	return err
}
