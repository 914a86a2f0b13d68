// Package agent holds the link to the render farm agent: its lines, reconnecting, and what makes
// sure that neither a command nor a notice is lost when a link breaks.
package agent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/logging"
	"falldeal/internal/outbox"

	"golang.org/x/sync/errgroup"
)

const (
	maxLine      = 32 << 10 // a result of 4 KiB in base64, many times over
	outRoom      = 4096     // commands that wait to be written
	dialTimeout  = 2 * time.Second
	backoffLeast = 10 * time.Millisecond
	backoffMost  = 500 * time.Millisecond

	// finish is how long a link may go on after the agent has moved to another address.
	finish = 1500 * time.Millisecond
)

// command is kept until the agent is known to have read it.
type command struct {
	seq  int64
	req  string // whose notices prove that it was read
	line []byte
}

// Link is the link to the agent. Its methods are called from the loop that post hands functions to.
type Link struct {
	moves  chan string  // the address in force, for Run
	seed   uint64       // of the spread of what is tried again
	post   func(func()) // hands a function to the loop
	notice func(Notice)
	log    *logging.Limiter

	addr   string // in force
	opens  uint64 // links opened so far
	cur    *outbox.Outbox
	synced bool      // commands may be written
	last   int64     // offset of the last notice read
	seq    int64     // counts commands and samples; a sample's number is its token
	unread []command // in order of sending
}

// purpose sets the agent's jitter apart from that of other links of one server.
const purpose = 0xa6e27

// New returns a Link that hands each new notice to the function notice, within the loop. What it tries again is
// spread by seed.
func New(addr string, seed uint64, post func(func()), notice func(Notice), log *logging.Limiter) *Link {
	l := &Link{moves: make(chan string, 1), seed: seed, post: post, notice: notice, log: log}
	l.Move(addr)
	return l
}

// Move has the link opened at another address. The present one is used until that has been done.
func (l *Link) Move(addr string) {
	if addr == l.addr {
		return
	}
	l.addr = addr
	select {
	case <-l.moves: // not followed yet, and out of date
	default:
	}
	l.moves <- addr
}

// Opens is how many links have been opened.
func (l *Link) Opens() uint64 { return l.opens }

// Run keeps a link open at the address in force until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	leave := func() {} // the address in force so far
	defer func() { leave() }()
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case addr := <-l.moves:
			leave()
			stay, stop := context.WithCancel(ctx)
			leave = stop
			g.Go(func() error { l.keep(ctx, stay, addr); return nil })
		}
	}
}

// keep opens links to addr, one after the other, for as long as stay lasts.
func (l *Link) keep(ctx, stay context.Context, addr string) {
	wait := backoff.New(backoffLeast, backoffMost, l.seed, purpose)
	for stay.Err() == nil {
		began := time.Now()
		if err := l.serve(ctx, stay, addr); err != nil && stay.Err() == nil {
			l.log.Warn("agent", "link to the agent broke; opening it again", err)
		}
		if time.Since(began) > backoffMost {
			wait.Reset()
		}
		select {
		case <-stay.Done():
		case <-time.After(wait.Next()):
		}
	}
}

// serve runs one link from its dial to its end, which comes soon after that of stay.
func (l *Link) serve(ctx, stay context.Context, addr string) error {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(stay, "tcp", addr)
	if err != nil {
		return err
	}
	w := outbox.New(nc, outRoom)
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, w.Close)()
	defer context.AfterFunc(stay, func() { _ = nc.SetReadDeadline(time.Now().Add(finish)) })()
	g.Go(w.Run)
	l.post(func() { l.opened(addr, w) })
	g.Go(func() error { return l.read(nc, w) })
	err = g.Wait()
	l.post(func() { l.closed(w) })
	return err
}

func (l *Link) read(nc net.Conn, w *outbox.Outbox) error {
	in := bufio.NewReaderSize(nc, maxLine)
	var p parser
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err // a line longer than the buffer ends the link too
		}
		n, err := p.parse(line)
		if err != nil {
			return err
		}
		l.post(func() { l.handle(w, n) })
	}
}

func (l *Link) opened(addr string, w *outbox.Outbox) {
	if addr != l.addr {
		w.Close() // the agent has moved meanwhile
		return
	}
	if l.cur != nil {
		l.cur.Close() // after what it has still to write
	}
	l.opens++
	l.cur, l.synced = w, false
	w.Send(subscribe(l.last))
}

func (l *Link) closed(w *outbox.Outbox) {
	if l.cur == w {
		l.cur, l.synced = nil, false
	}
}

// handle takes a notice in the loop: what was seen on an earlier link is dropped.
func (l *Link) handle(w *outbox.Outbox, n Notice) {
	if w != l.cur {
		return
	}
	if n.Offset > 0 && (n.Kind == Outcome || n.Kind == Request || n.Kind == Aside) {
		if n.Offset <= l.last {
			return
		}
		l.last = n.Offset
	}
	switch n.Kind {
	case Greeting:
		// All notices that were missed come before the answer to this sample. Only then is it
		// known which of the unread commands still make sense.
		l.sample()
	case Sampled:
		l.sampled(n.Token)
	case Outcome, Request:
		l.Forget(n.Req)
	}
	l.notice(n)
}

// sampled drops what was sent before the sample: commands are read in order. The first answer on a
// link also opens it for commands, beginning with those that the last link may have lost.
func (l *Link) sampled(token string) {
	seq, err := strconv.ParseInt(token, 10, 64)
	if err != nil {
		return
	}
	if l.synced {
		l.drop(func(c command) bool { return c.seq < seq })
		return
	}
	l.synced = true
	for _, c := range l.unread {
		l.cur.Send(c.line)
	}
}

func (l *Link) drop(gone func(command) bool) { l.unread = slices.DeleteFunc(l.unread, gone) }

// Forget drops the commands about a request, which need not be sent again: a notice about it proves
// that they were read, or nobody wants them any more.
func (l *Link) Forget(req string) { l.drop(func(c command) bool { return c.req == req }) }

func (l *Link) send(req string, line []byte) {
	l.seq++
	l.unread = append(l.unread, command{l.seq, req, line})
	if l.synced {
		l.cur.Send(line)
	}
}

// Launch runs a request.
func (l *Link) Launch(req, class string, payload []byte) {
	l.send(req, launch(req, class, payload))
}

// Deliver hands a run the reply to the call that it waits for.
func (l *Link) Deliver(req string, payload []byte) {
	l.send(req, deliver(req, payload))
}

// Forgo lets a run go on without the call that the notice at offset asked for.
func (l *Link) Forgo(req string, offset int64) {
	l.send(req, forgo(req, offset))
}

// Sample asks for the gauges.
func (l *Link) Sample() {
	if l.synced {
		l.sample()
	}
}

func (l *Link) sample() {
	l.seq++
	l.cur.Send(tokened("sample", strconv.FormatInt(l.seq, 10)))
}

// ErrDown says that there is no link.
var ErrDown = errors.New("no link to the agent")

// Exercise asks for the work of a deep health check; its end names the token.
func (l *Link) Exercise(token string) error {
	if !l.synced {
		return ErrDown
	}
	l.cur.Send(tokened("exercise", token))
	return nil
}
