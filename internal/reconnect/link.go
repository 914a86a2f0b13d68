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

// Config configures a Link. Every field must be set; there are no defaults.
type Config struct {
	// Backoff configures the delays between attempts to connect. An attempt that takes longer than Backoff.MaxDelay, from
	// its dial to the end of its connection, resets the delay, even if it was a dial that failed after a long wait.
	Backoff backoff.Config
	// WriteQueueSize is the maximum number of messages that wait to be written on a connection.
	WriteQueueSize int
}

// Handler handles the connections of a Link. Its methods are called on goroutines of Run. For one connection they are
// called in the order below; after a failed dial, only Failed is called. The calls for connections to an old and a new
// address may overlap.
type Handler interface {
	// Opened is called with the write queue of a new connection to address.
	Opened(address string, queue *writequeue.Queue)
	// Read reads from the connection until that fails. Its error ends the connection.
	Read(conn net.Conn, queue *writequeue.Queue) error
	// Closed is called after a connection has ended.
	Closed(queue *writequeue.Queue)
	// Failed is called with the error of a dial to address or of a connection to it, unless the address was replaced or the
	// context of Run has ended.
	Failed(address string, err error)
}

// Link maintains a connection to one address, which can be replaced. SetAddress and Address must be called on one
// goroutine.
type Link struct {
	config    Config
	address   string               // current address
	addresses latest.Value[string] // passes the current address to Run
}

// New returns a Link to address. Run opens the connection.
func New(address string, config Config) *Link {
	link := &Link{config: config, addresses: latest.New[string]()}
	link.SetAddress(address)
	return link
}

// Address returns the current address.
func (l *Link) Address() string { return l.address }

// SetAddress replaces the address, and does nothing if address is the current one. The connection to the old address is
// read for DrainTimeout at most; the Handler should close it as soon as the new one is open.
func (l *Link) SetAddress(address string) {
	if address == l.address {
		return
	}
	l.address = address
	l.addresses.Set(address)
}

// Run maintains a connection to the current address until ctx ends. It returns once all connections are closed.
func (l *Link) Run(ctx context.Context, handler Handler) {
	var group errgroup.Group
	cancelCurrent := func() {} // cancels the context of the current address
	defer func() { cancelCurrent() }()
	for {
		select {
		case <-ctx.Done():
			_ = group.Wait() // its functions return no error
			return
		case address := <-l.addresses.C():
			cancelCurrent()
			addressCtx, cancel := context.WithCancel(ctx)
			cancelCurrent = cancel
			peer := &peer{address: address, config: l.config, handler: handler}
			group.Go(func() error {
				peer.maintainConnection(ctx, addressCtx)
				return nil
			})
		}
	}
}

// peer is one address of a Link, for as long as it is the current one. It belongs to a goroutine of Run.
type peer struct {
	address string
	config  Config
	handler Handler
}

// maintainConnection opens one connection after another until addressCtx ends.
func (p *peer) maintainConnection(ctx, addressCtx context.Context) {
	delays := backoff.New(p.config.Backoff)
	for addressCtx.Err() == nil {
		start := time.Now()
		if err := p.connect(ctx, addressCtx); err != nil && addressCtx.Err() == nil {
			p.handler.Failed(p.address, err)
		}
		if time.Since(start) > p.config.Backoff.MaxDelay {
			delays.Reset()
		}
		select {
		case <-addressCtx.Done():
		case <-time.After(delays.Next()):
		}
	}
}

// connect dials the peer and serves the connection until it ends. After addressCtx has ended, the connection is read for
// DrainTimeout at most. When ctx ends, the connection is closed as soon as the queued messages are written.
func (p *peer) connect(ctx, addressCtx context.Context) error {
	conn, err := Dial(addressCtx, "tcp", p.address, DialTimeout)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(addressCtx, func() {
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
