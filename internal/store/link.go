// Package store makes calls to the store that all image servers share.
package store

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/deadline"
	"falldeal/internal/logging"
	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

const (
	writeQueueSize = 8 // lines that wait to be written on a connection
	readBufferSize = 4 << 10
	dialTimeout    = 2 * time.Second
	idleTimeout    = 50 * time.Millisecond // the store may have forgotten one idle for longer, and a dial takes 0.1 ms
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond

	// drainTimeout is how long a call may go on after the store has moved to another address.
	drainTimeout = 1500 * time.Millisecond
)

// Loop is what a Link needs of the loop that owns it.
type Loop struct {
	Post      func(func()) // hands a function to the loop, from any goroutine
	Now       func() time.Duration
	Deadlines *deadline.Queue
}

// Link makes calls, each on a connection that carries no other at the time: a reply that can't be read, or
// none at all, then costs that call and no other. Connections are opened as calls need them, used again
// while that is soon, and closed otherwise. Its methods are called from the loop only.
type Link struct {
	address      string // in force
	loop         Loop
	onReply      func(id string, r Reply, body []byte)
	log          *logging.Limiter
	dialRequests chan *dial // asks Run to dial; has room for all that may be under way

	calls             map[string]*call
	waiting           []*call // for a connection, in order
	connections       map[*writequeue.Queue]*connection
	idle              []*connection // the last used at the end, and used last: by then its close or a second reply would show
	dialsInFlight     int           // dials under way, given up or not
	wantedDials       []*dial       // those that calls wait for, in order: never more than such calls
	connectionsOpened uint64        // connections opened so far
	backoff           *backoff.Backoff
	dialDelay         time.Duration // before the next dial
}

// dial is one attempt to open a connection.
type dial struct {
	address string
	delay   time.Duration // before it
	ctx     context.Context
	cancel  context.CancelFunc
}

// connection is one connection to the store.
type connection struct {
	*writequeue.Queue
	address       string
	call          *call  // that it carries
	lastRequestID string // id of the one before that
	idleTimer     *deadline.Entry
}

type call struct {
	requestID     string
	body          []byte
	deadline      time.Duration
	connection    *connection // nil while it waits for one
	deadlineTimer *deadline.Entry
}

// backoffPurpose sets the store's jitter apart from that of other links of one server.
const backoffPurpose = 0x5702e

// New returns a Link over up to most connections that reports the end of each call with reply, within
// the loop. What it tries again is spread by seed.
func New(addr string, most int, seed uint64, loop Loop, reply func(id string, r Reply, body []byte), log *logging.Limiter) *Link {
	return &Link{address: addr, loop: loop, onReply: reply, log: log, dialRequests: make(chan *dial, most),
		calls: map[string]*call{}, connections: map[*writequeue.Queue]*connection{},
		backoff: backoff.New(minBackoff, maxBackoff, seed, backoffPurpose)}
}

// Run opens connections as calls need them, until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case to := <-l.dialRequests:
			g.Go(func() error { l.serve(ctx, to); return nil })
		}
	}
}

// serve runs one connection from its dial to its end.
func (l *Link) serve(ctx context.Context, to *dial) {
	defer context.AfterFunc(ctx, to.cancel)()
	select {
	case <-to.ctx.Done():
	case <-time.After(to.delay):
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(to.ctx, "tcp", to.address)
	if err != nil {
		l.loop.Post(func() { l.handleDialFailed(to, err) })
		return
	}
	w := writequeue.New(nc, writeQueueSize)
	l.loop.Post(func() { l.handleOpened(to, w) })
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, w.Close)()
	g.Go(w.Run)
	g.Go(func() error {
		in := bufio.NewReaderSize(nc, readBufferSize)
		for {
			id, r, body, err := readReply(in)
			if err != nil {
				w.Close()
				return err
			}
			l.loop.Post(func() { l.handleReply(w, id, r, body) })
		}
	})
	err = g.Wait()
	l.loop.Post(func() { l.handleClosed(w, err) })
}

// Call makes a call for the run of request id and gives it up at until. A call that is under way
// for the same request is given up.
func (l *Link) Call(id string, until time.Duration, body []byte) {
	l.Abandon(id)
	c := &call{requestID: id, body: body, deadline: until}
	c.deadlineTimer = l.loop.Deadlines.Add(until, func() {
		l.Abandon(id)
		l.onReply(id, Expired, nil)
	})
	l.calls[id] = c
	for i, w := range l.idle {
		// A second copy of the last reply would be taken for the answer to the same request's next call.
		if w.lastRequestID != id {
			l.idle = append(l.idle[:i], l.idle[i+1:]...)
			l.loop.Deadlines.Cancel(w.idleTimer)
			l.startCall(c, w)
			return
		}
	}
	l.waiting = append(l.waiting, c)
	l.adjustDials()
}

func (l *Link) startCall(c *call, w *connection) {
	c.connection, w.call = w, c
	w.Send(appendCall(nil, c.requestID, c.deadline-l.loop.Now(), c.body))
}

// nextWaiting takes the call that waits for longest.
func (l *Link) nextWaiting() *call {
	if len(l.waiting) == 0 {
		return nil
	}
	c := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	return c
}

// adjustDials has connections opened for the calls that wait, as far as there may be more, and gives up the oldest dials
// that no call waits for any more: where the store does not answer at all they would hang for their whole time,
// and the calls that come next would wait for them.
func (l *Link) adjustDials() {
	for len(l.wantedDials) > len(l.waiting) {
		l.wantedDials[0].cancel()
		l.wantedDials = slices.Delete(l.wantedDials, 0, 1)
	}
	for len(l.wantedDials) < len(l.waiting) && l.dialsInFlight+len(l.connections) < cap(l.dialRequests) {
		d := &dial{address: l.address, delay: l.dialDelay}
		d.ctx, d.cancel = context.WithCancel(context.Background())
		l.dialsInFlight++
		l.wantedDials = append(l.wantedDials, d)
		l.dialRequests <- d
	}
}

// removeDial notes the end of a dial, and reports whether it had been given up.
func (l *Link) removeDial(d *dial) (givenUp bool) {
	l.dialsInFlight--
	d.cancel() // frees its context
	i := slices.Index(l.wantedDials, d)
	if i >= 0 {
		l.wantedDials = slices.Delete(l.wantedDials, i, i+1)
	}
	return i < 0
}

// InFlight is how many calls have no reply yet and were not given up.
func (l *Link) InFlight() int { return len(l.calls) }

// Abandon gives up the call for request id and reports whether there is one; nothing is told of it any more.
func (l *Link) Abandon(id string) bool {
	c := l.calls[id]
	if c == nil {
		return false
	}
	l.endCall(c)
	if w := c.connection; w != nil {
		w.Send(appendDrop(nil, id))
		l.closeConnection(w) // its reply may still come, or never
	}
	return true
}

func (l *Link) endCall(c *call) {
	l.loop.Deadlines.Cancel(c.deadlineTimer)
	delete(l.calls, c.requestID)
	if c.connection != nil {
		c.connection.call = nil
	} else if i := slices.Index(l.waiting, c); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.adjustDials()
	}
}

// closeConnection ends a connection that carries no call any more.
func (l *Link) closeConnection(w *connection) {
	w.Close()
	delete(l.connections, w.Queue)
	l.adjustDials()
}

// SetAddress has new calls made at another address. Those under way may end where they are.
func (l *Link) SetAddress(addr string) {
	if addr == l.address {
		return
	}
	l.address = addr
	l.resetBackoff()
	for _, w := range l.idle {
		l.loop.Deadlines.Cancel(w.idleTimer)
		l.closeConnection(w)
	}
	l.idle = nil
	for _, w := range l.connections {
		l.loop.Deadlines.Add(l.loop.Now()+drainTimeout, w.Close)
	}
	for _, d := range l.wantedDials {
		d.cancel() // nothing new goes to the old address
	}
	l.wantedDials = nil
	l.adjustDials()
}

// resetBackoff has the next dial made at once.
func (l *Link) resetBackoff() {
	l.backoff.Reset()
	l.dialDelay = 0
}

// ConnectionsOpened is how many connections have been opened.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

func (l *Link) handleOpened(d *dial, w *writequeue.Queue) {
	l.removeDial(d)
	if d.address != l.address {
		w.Close()
		l.adjustDials()
		return
	}
	l.connectionsOpened++
	l.resetBackoff()
	c := &connection{Queue: w, address: d.address}
	l.connections[w] = c
	l.assign(c)
	l.adjustDials()
}

// assign gives w to a call that waits, or keeps it for a moment.
func (l *Link) assign(w *connection) {
	if c := l.nextWaiting(); c != nil {
		l.startCall(c, w)
		return
	}
	l.idle = append(l.idle, w)
	w.idleTimer = l.loop.Deadlines.Add(l.loop.Now()+idleTimeout, func() { l.removeIdle(w); l.closeConnection(w) })
}

// removeIdle takes w from the connections that wait for a call, and reports whether it was one.
func (l *Link) removeIdle(w *connection) bool {
	for i, f := range l.idle {
		if f == w {
			l.idle = append(l.idle[:i], l.idle[i+1:]...)
			l.loop.Deadlines.Cancel(w.idleTimer)
			return true
		}
	}
	return false
}

func (l *Link) handleDialFailed(d *dial, err error) {
	if !l.removeDial(d) {
		l.dialDelay = l.backoff.Next()
		l.log.Warn("store", "no connection to the store", err)
		if c := l.nextWaiting(); c != nil {
			l.endCall(c)
			l.onReply(c.requestID, ConnectionRefused, nil)
		}
	}
	l.adjustDials() // one that was given up proves nothing about the calls that wait
}

func (l *Link) handleReply(o *writequeue.Queue, id string, r Reply, body []byte) {
	w := l.connections[o]
	if w == nil {
		return
	}
	c := w.call
	if c == nil || c.requestID != id {
		// Nobody asked for it. A call under way may still be answered; no further one is made there.
		w.address = ""
		if c == nil {
			l.removeIdle(w)
			l.closeConnection(w)
		}
		return
	}
	l.endCall(c)
	w.lastRequestID = id
	if w.address == l.address {
		l.assign(w)
	} else {
		l.closeConnection(w)
	}
	l.onReply(id, r, body)
}

func (l *Link) handleClosed(o *writequeue.Queue, err error) {
	w := l.connections[o]
	if w == nil {
		return
	}
	l.removeIdle(w)
	l.closeConnection(w)
	if c := w.call; c != nil {
		l.log.Warn("store", "connection to the store broke during a call", err)
		l.endCall(c)
		l.onReply(c.requestID, ConnectionBroken, nil)
	}
}
