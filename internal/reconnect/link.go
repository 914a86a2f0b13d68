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

// Config configures a Link. No field has a default.
type Config struct {
	// Backoff sets the delays between dials. A connection that lasts for longer than Backoff.MaxDelay counts as a
	// success, and the next delay is the first again.
	Backoff backoff.Config
	// WriteQueueSize is how many messages may wait to be written on a connection.
	WriteQueueSize int
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
	// Failed takes the error of a dial to address or of a connection to it, unless the address has been replaced.
	Failed(address string, err error)
}

// Link keeps a connection open to one address that may be replaced. SetAddress and Address belong to one goroutine.
type Link struct {
	config    Config
	address   string
	addresses latest.Value[string] // for Run
}

// New returns a Link to address, which Run opens.
func New(address string, config Config) *Link {
	link := &Link{config: config, addresses: latest.New[string]()}
	link.SetAddress(address)
	return link
}

// Address returns the address in force.
func (l *Link) Address() string { return l.address }

// SetAddress opens a connection to another address. The one before serves for DrainTimeout at most; it is for
// the Handler to close it as soon as the new one is open.
func (l *Link) SetAddress(address string) {
	if address == l.address {
		return
	}
	l.address = address
	l.addresses.Set(address)
}

// Run keeps a connection open to the address in force until ctx ends, and all its connections with that.
func (l *Link) Run(ctx context.Context, handler Handler) {
	var group errgroup.Group
	replace := func() {} // ends the use of the address in force so far
	defer func() { replace() }()
	for {
		select {
		case <-ctx.Done():
			_ = group.Wait() // its functions return no error
			return
		case address := <-l.addresses.C():
			replace()
			inForce, cancel := context.WithCancel(ctx)
			replace = cancel
			peer := &peer{address: address, config: l.config, handler: handler}
			group.Go(func() error {
				peer.maintainConnection(ctx, inForce)
				return nil
			})
		}
	}
}

// peer is one address of a Link, for as long as it is in force. It belongs to a goroutine of Run.
type peer struct {
	address string
	config  Config
	handler Handler
}

// maintainConnection opens connections, one after the other, until inForce ends.
func (p *peer) maintainConnection(ctx, inForce context.Context) {
	delays := backoff.New(p.config.Backoff)
	for inForce.Err() == nil {
		start := time.Now()
		if err := p.connect(ctx, inForce); err != nil && inForce.Err() == nil {
			p.handler.Failed(p.address, err)
		}
		if time.Since(start) > p.config.Backoff.MaxDelay {
			delays.Reset()
		}
		select {
		case <-inForce.Done():
		case <-time.After(delays.Next()):
		}
	}
}

// connect serves one connection from its dial to its end. After that of inForce it ends within DrainTimeout, and at the
// end of ctx at once.
func (p *peer) connect(ctx, inForce context.Context) error {
	conn, err := Dial(inForce, "tcp", p.address, DialTimeout)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(inForce, func() {
		// An error means that the connection is closed already.
		_ = conn.SetReadDeadline(time.Now().Add(DrainTimeout))
	})
	defer stop()
	queue := writequeue.New(conn, p.config.WriteQueueSize)
	err = Serve(ctx, queue, func() error {
		p.handler.Opened(p.address, queue)
		return p.handler.Read(conn, queue)
	})
	p.handler.Closed(queue)
	return err
}
