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
	outRoom      = 8 // lines that wait to be written on a connection
	readRoom     = 4 << 10
	dialTimeout  = 2 * time.Second
	reuseWithin  = 50 * time.Millisecond // the store may have forgotten one idle for longer, and a dial takes 0.1 ms
	backoffLeast = 10 * time.Millisecond
	backoffMost  = 200 * time.Millisecond

	// finish is how long a call may go on after the store has moved to another address.
	finish = 1500 * time.Millisecond
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
	addr  string // in force
	loop  Loop
	reply func(id string, r Reply, body []byte)
	log   *logging.Limiter
	dials chan *dial // asks Run to dial; has room for all that may be under way

	calls   map[string]*call
	waiting []*call // for a connection, in order
	conns   map[*writequeue.Queue]*conn
	free    []*conn // the last used at the end, and used last: by then its close or a second reply would show
	dialing int     // dials under way, given up or not
	dialled []*dial // those that calls wait for, in order: never more than such calls
	opens   uint64  // connections opened so far
	backoff *backoff.Backoff
	wait    time.Duration // before the next dial
}

// dial is one attempt to open a connection.
type dial struct {
	addr   string
	wait   time.Duration // before it
	ctx    context.Context
	giveUp context.CancelFunc
}

// conn is one connection to the store.
type conn struct {
	*writequeue.Queue
	addr string
	call *call  // that it carries
	last string // id of the one before that
	idle *deadline.Entry
}

type call struct {
	id    string
	body  []byte
	until time.Duration
	on    *conn // nil while it waits for one
	end   *deadline.Entry
}

// purpose sets the store's jitter apart from that of other links of one server.
const purpose = 0x5702e

// New returns a Link over up to most connections that reports the end of each call with reply, within
// the loop. What it tries again is spread by seed.
func New(addr string, most int, seed uint64, loop Loop, reply func(id string, r Reply, body []byte), log *logging.Limiter) *Link {
	return &Link{addr: addr, loop: loop, reply: reply, log: log, dials: make(chan *dial, most),
		calls: map[string]*call{}, conns: map[*writequeue.Queue]*conn{},
		backoff: backoff.New(backoffLeast, backoffMost, seed, purpose)}
}

// Run opens connections as calls need them, until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case to := <-l.dials:
			g.Go(func() error { l.serve(ctx, to); return nil })
		}
	}
}

// serve runs one connection from its dial to its end.
func (l *Link) serve(ctx context.Context, to *dial) {
	defer context.AfterFunc(ctx, to.giveUp)()
	select {
	case <-to.ctx.Done():
	case <-time.After(to.wait):
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(to.ctx, "tcp", to.addr)
	if err != nil {
		l.loop.Post(func() { l.refused(to, err) })
		return
	}
	w := writequeue.New(nc, outRoom)
	l.loop.Post(func() { l.opened(to, w) })
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, w.Close)()
	g.Go(w.Run)
	g.Go(func() error {
		in := bufio.NewReaderSize(nc, readRoom)
		for {
			id, r, body, err := readReply(in)
			if err != nil {
				w.Close()
				return err
			}
			l.loop.Post(func() { l.replied(w, id, r, body) })
		}
	})
	err = g.Wait()
	l.loop.Post(func() { l.closed(w, err) })
}

// Call makes a call for the run of request id and gives it up at until. A call that is under way
// for the same request is given up.
func (l *Link) Call(id string, until time.Duration, body []byte) {
	l.Abandon(id)
	c := &call{id: id, body: body, until: until}
	c.end = l.loop.Deadlines.Add(until, func() {
		l.Abandon(id)
		l.reply(id, Expired, nil)
	})
	l.calls[id] = c
	for i, w := range l.free {
		// A second copy of the last reply would be taken for the answer to the same request's next call.
		if w.last != id {
			l.free = append(l.free[:i], l.free[i+1:]...)
			l.loop.Deadlines.Cancel(w.idle)
			l.write(c, w)
			return
		}
	}
	l.waiting = append(l.waiting, c)
	l.dial()
}

func (l *Link) write(c *call, w *conn) {
	c.on, w.call = w, c
	w.Send(appendCall(nil, c.id, c.until-l.loop.Now(), c.body))
}

// next takes the call that waits for longest.
func (l *Link) next() *call {
	if len(l.waiting) == 0 {
		return nil
	}
	c := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	return c
}

// dial has connections opened for the calls that wait, as far as there may be more, and gives up the oldest dials
// that no call waits for any more: where the store does not answer at all they would hang for their whole time,
// and the calls that come next would wait for them.
func (l *Link) dial() {
	for len(l.dialled) > len(l.waiting) {
		l.dialled[0].giveUp()
		l.dialled = slices.Delete(l.dialled, 0, 1)
	}
	for len(l.dialled) < len(l.waiting) && l.dialing+len(l.conns) < cap(l.dials) {
		d := &dial{addr: l.addr, wait: l.wait}
		d.ctx, d.giveUp = context.WithCancel(context.Background())
		l.dialing++
		l.dialled = append(l.dialled, d)
		l.dials <- d
	}
}

// dialEnded notes the end of a dial, and reports whether it had been given up.
func (l *Link) dialEnded(d *dial) (givenUp bool) {
	l.dialing--
	d.giveUp() // frees its context
	i := slices.Index(l.dialled, d)
	if i >= 0 {
		l.dialled = slices.Delete(l.dialled, i, i+1)
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
	l.end(c)
	if w := c.on; w != nil {
		w.Send(appendDrop(nil, id))
		l.close(w) // its reply may still come, or never
	}
	return true
}

func (l *Link) end(c *call) {
	l.loop.Deadlines.Cancel(c.end)
	delete(l.calls, c.id)
	if c.on != nil {
		c.on.call = nil
	} else if i := slices.Index(l.waiting, c); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.dial()
	}
}

// close ends a connection that carries no call any more.
func (l *Link) close(w *conn) {
	w.Close()
	delete(l.conns, w.Queue)
	l.dial()
}

// SetAddress has new calls made at another address. Those under way may end where they are.
func (l *Link) SetAddress(addr string) {
	if addr == l.addr {
		return
	}
	l.addr = addr
	l.reached()
	for _, w := range l.free {
		l.loop.Deadlines.Cancel(w.idle)
		l.close(w)
	}
	l.free = nil
	for _, w := range l.conns {
		l.loop.Deadlines.Add(l.loop.Now()+finish, w.Close)
	}
	for _, d := range l.dialled {
		d.giveUp() // nothing new goes to the old address
	}
	l.dialled = nil
	l.dial()
}

// reached has the next dial made at once.
func (l *Link) reached() {
	l.backoff.Reset()
	l.wait = 0
}

// ConnectionsOpened is how many connections have been opened.
func (l *Link) ConnectionsOpened() uint64 { return l.opens }

func (l *Link) opened(d *dial, w *writequeue.Queue) {
	l.dialEnded(d)
	if d.addr != l.addr {
		w.Close()
		l.dial()
		return
	}
	l.opens++
	l.reached()
	c := &conn{Queue: w, addr: d.addr}
	l.conns[w] = c
	l.use(c)
	l.dial()
}

// use gives w to a call that waits, or keeps it for a moment.
func (l *Link) use(w *conn) {
	if c := l.next(); c != nil {
		l.write(c, w)
		return
	}
	l.free = append(l.free, w)
	w.idle = l.loop.Deadlines.Add(l.loop.Now()+reuseWithin, func() { l.unfree(w); l.close(w) })
}

// unfree takes w from the connections that wait for a call, and reports whether it was one.
func (l *Link) unfree(w *conn) bool {
	for i, f := range l.free {
		if f == w {
			l.free = append(l.free[:i], l.free[i+1:]...)
			l.loop.Deadlines.Cancel(w.idle)
			return true
		}
	}
	return false
}

func (l *Link) refused(d *dial, err error) {
	if !l.dialEnded(d) {
		l.wait = l.backoff.Next()
		l.log.Warn("store", "no connection to the store", err)
		if c := l.next(); c != nil {
			l.end(c)
			l.reply(c.id, ConnectionRefused, nil)
		}
	}
	l.dial() // one that was given up proves nothing about the calls that wait
}

func (l *Link) replied(o *writequeue.Queue, id string, r Reply, body []byte) {
	w := l.conns[o]
	if w == nil {
		return
	}
	c := w.call
	if c == nil || c.id != id {
		// Nobody asked for it. A call under way may still be answered; no further one is made there.
		w.addr = ""
		if c == nil {
			l.unfree(w)
			l.close(w)
		}
		return
	}
	l.end(c)
	w.last = id
	if w.addr == l.addr {
		l.use(w)
	} else {
		l.close(w)
	}
	l.reply(id, r, body)
}

func (l *Link) closed(o *writequeue.Queue, err error) {
	w := l.conns[o]
	if w == nil {
		return
	}
	l.unfree(w)
	l.close(w)
	if c := w.call; c != nil {
		l.log.Warn("store", "connection to the store broke during a call", err)
		l.end(c)
		l.reply(c.id, ConnectionBroken, nil)
	}
}
