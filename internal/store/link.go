// Package store makes calls to the store that all image servers share.
package store

import (
	"bufio"
	"context"
	"net"
	"time"

	"falldeal/internal/deadline"
	"falldeal/internal/logging"
	"falldeal/internal/outbox"

	"golang.org/x/sync/errgroup"
)

const (
	outRoom      = 1024 // lines that wait to be written
	dialTimeout  = 2 * time.Second
	idleClose    = 8 * time.Second // before the store closes: its close might cross a call
	backoffLeast = 10 * time.Millisecond
	backoffMost  = 200 * time.Millisecond

	// Finish is how long a connection may go on after the store has moved to another address.
	Finish = 1500 * time.Millisecond
)

// Loop is what a Link needs of the loop that owns it.
type Loop struct {
	Post      func(func()) // hands a function to the loop, from any goroutine
	Now       func() time.Duration
	Deadlines *deadline.Queue
}

// Link makes calls over one connection, which it opens when there is a call and closes when there
// was none for some time. Its methods are called from the loop only.
type Link struct {
	addr  string
	loop  Loop
	reply func(id string, r Reply, body []byte)
	log   *logging.Limiter
	dials chan dial // asks Run to dial

	cur     *outbox.Outbox // nil while there is no connection
	opens   uint64         // connections opened so far
	dialing bool
	backoff time.Duration
	calls   map[string]*call
	idle    *deadline.Entry
}

type dial struct {
	addr string
	wait time.Duration // before that
}

type call struct {
	body  []byte
	until time.Duration
	on    *outbox.Outbox // that it was written to; nil while it waits for one
	end   *deadline.Entry
}

// New returns a Link that reports the end of each call with reply, within the loop.
func New(addr string, loop Loop, reply func(id string, r Reply, body []byte), log *logging.Limiter) *Link {
	return &Link{addr: addr, loop: loop, reply: reply, log: log, dials: make(chan dial, 1),
		calls: map[string]*call{}}
}

// Run opens connections as calls need them, until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case to := <-l.dials:
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(to.wait):
				}
				d := net.Dialer{Timeout: dialTimeout}
				nc, err := d.DialContext(ctx, "tcp", to.addr)
				if err != nil {
					l.loop.Post(func() { l.refused(to.addr, err) })
					continue
				}
				w := outbox.New(nc, outRoom)
				l.loop.Post(func() { l.opened(to.addr, w) })
				g.Go(func() error { l.serve(ctx, nc, w); return nil })
			}
		}
	})
	return g.Wait()
}

// serve runs one connection to its end.
func (l *Link) serve(ctx context.Context, nc net.Conn, w *outbox.Outbox) {
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, w.Close)()
	g.Go(w.Run)
	g.Go(func() error {
		in := bufio.NewReaderSize(nc, 8<<10)
		for {
			id, r, body, err := readReply(in)
			if err != nil {
				return err
			}
			l.loop.Post(func() { l.replied(w, id, r, body) })
		}
	})
	err := g.Wait()
	l.loop.Post(func() { l.closed(w, err) })
}

// Call makes a call for the run of request id and gives it up at until. A call that is under way
// for the same request is given up.
func (l *Link) Call(id string, until time.Duration, body []byte) {
	l.Drop(id)
	c := &call{body: body, until: until}
	c.end = l.loop.Deadlines.Add(until, func() {
		l.Drop(id)
		l.reply(id, Expired, nil)
	})
	l.calls[id] = c
	l.loop.Deadlines.Cancel(l.idle)
	if l.cur != nil {
		l.write(id, c)
		return
	}
	l.dial()
}

func (l *Link) write(id string, c *call) {
	c.on = l.cur
	l.cur.Send(appendCall(nil, id, c.until-l.loop.Now(), c.body))
}

func (l *Link) dial() {
	if !l.dialing {
		l.dialing = true
		l.dials <- dial{l.addr, l.backoff} // has room: one dial at a time
	}
}

// Drop gives up the call for request id and reports whether there is one; nothing is told of it any more.
func (l *Link) Drop(id string) bool {
	c := l.calls[id]
	if c == nil {
		return false
	}
	if c.on != nil {
		c.on.Send(appendDrop(nil, id))
	}
	l.end(id, c)
	return true
}

func (l *Link) end(id string, c *call) {
	l.loop.Deadlines.Cancel(c.end)
	delete(l.calls, id)
	if len(l.calls) == 0 && l.cur != nil {
		w := l.cur
		l.loop.Deadlines.Cancel(l.idle)
		l.idle = l.loop.Deadlines.Add(l.loop.Now()+idleClose, func() {
			if l.cur == w && len(l.calls) == 0 {
				l.cur = nil
				w.Close()
			}
		})
	}
}

// Move has new calls made at another address. Those under way may end where they are.
func (l *Link) Move(addr string) {
	if addr == l.addr {
		return
	}
	l.addr = addr
	if w := l.cur; w != nil {
		l.cur = nil
		l.loop.Deadlines.Add(l.loop.Now()+Finish, w.Close)
	}
}

// Opens is how many connections have been opened.
func (l *Link) Opens() uint64 { return l.opens }

// outdated deals with the end of a dial to an address that is not in force any more: calls that wait
// for it go to the one that is.
func (l *Link) outdated(addr string) bool {
	if addr == l.addr {
		return false
	}
	l.dialing, l.backoff = false, 0
	if len(l.calls) > 0 && l.cur == nil {
		l.dial()
	}
	return true
}

func (l *Link) opened(addr string, w *outbox.Outbox) {
	if l.outdated(addr) {
		w.Close()
		return
	}
	l.opens++
	l.cur, l.dialing, l.backoff = w, false, 0
	for id, c := range l.calls {
		if c.on == nil {
			l.write(id, c)
		}
	}
}

func (l *Link) refused(addr string, err error) {
	if l.outdated(addr) {
		return
	}
	l.dialing = false
	l.backoff = min(max(2*l.backoff, backoffLeast), backoffMost)
	l.log.Warn("store", "no connection to the store", err)
	l.fail(nil, Refused)
}

func (l *Link) replied(w *outbox.Outbox, id string, r Reply, body []byte) {
	if c := l.calls[id]; c != nil && c.on == w {
		l.end(id, c)
		l.reply(id, r, body)
	}
}

func (l *Link) closed(w *outbox.Outbox, err error) {
	if l.cur == w {
		l.cur = nil
	}
	if l.fail(w, Broken) {
		l.log.Warn("store", "connection to the store broke during a call", err)
	}
}

// fail ends all calls on w, or those that wait for a connection.
func (l *Link) fail(w *outbox.Outbox, r Reply) (any bool) {
	for id, c := range l.calls {
		if c.on == w {
			any = true
			l.end(id, c)
			l.reply(id, r, nil)
		}
	}
	return any
}
