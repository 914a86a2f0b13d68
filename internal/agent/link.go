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
	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

const (
	maxLine        = 32 << 10 // a result of 4 KiB in base64, many times over
	writeQueueSize = 4096     // commands that wait to be written
	dialTimeout    = 2 * time.Second
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond

	// drainTimeout is how long a link may go on after the agent has moved to another address.
	drainTimeout = 1500 * time.Millisecond

	// A link on which nothing came for maxSilence, though minUnansweredSamples samples were asked for meanwhile, leads nowhere: each
	// is answered at once. The count is for a process that stood still, which has time passed and answers unread.
	maxSilence           = 2 * time.Second
	minUnansweredSamples = 3
	// handshakeTimeout is how long a link may be without its greeting, be it the first one: a booting agent greets once it is up,
	// and takes a new link as well. A third of what a server may take to be ready on the platform.
	handshakeTimeout = 10 * time.Second

	// ageTolerance is what an agent's age, told twice, may lack though it is the same agent.
	ageTolerance = time.Second
)

// command is kept until the agent is known to have read it.
type command struct {
	sequence      int64
	requestID     string // whose notices prove that it was read
	line          []byte
	nonIdempotent bool // read a second time, it may do harm
}

// Link is the link to the agent. Its methods are called from the loop that post hands functions to.
type Link struct {
	addresses      chan string  // the address in force, for Run
	seed           uint64       // of the spread of what is tried again
	post           func(func()) // hands a function to the loop
	onNotification func(Notification)
	log            *logging.Limiter

	address           string               // in force
	connectionsOpened uint64               // links opened so far
	now               func() time.Duration // the loop's clock
	onLost            func()               // tells that notices have been lost for good
	current           *writequeue.Queue
	synced            bool          // commands may be written
	lastOffset        int64         // offset of the last notice read
	lastSequence      int64         // counts commands and samples; a sample's number is its token
	unacknowledged    []command     // in order of sending
	lastReceived      time.Duration // when the link last brought anything, or was opened
	unansweredSamples int           // samples since then
	handshakeAt       time.Time     // when the first greeting of this agent came; zero before that
	handshakeAge      time.Duration // of the agent at that time
	awaitingFirst     bool          // no notice has come on this link yet
	gap               bool          // the first one was not the next to that read last
}

// backoffPurpose sets the agent's jitter apart from that of other links of one server.
const backoffPurpose = 0xa6e27

// New returns a Link that hands each new notice to the function notice, within the loop. What it tries again is
// spread by seed.
func New(addr string, seed uint64, post func(func()), notice func(Notification), log *logging.Limiter) *Link {
	l := &Link{addresses: make(chan string, 1), seed: seed, post: post, onNotification: notice, log: log}
	l.SetAddress(addr)
	return l
}

// Watch has links replaced that are open and bring nothing. now is the loop's clock. lost is called within the loop where
// notices are lost for good: the agent keeps the last 4,000, and none where it was started anew. What became of the
// runs in hand is then told by nobody.
func (l *Link) Watch(now func() time.Duration, lost func()) { l.now, l.onLost = now, lost }

// SetAddress has the link opened at another address. The present one is used until that has been done.
func (l *Link) SetAddress(addr string) {
	if addr == l.address {
		return
	}
	l.address = addr
	select {
	case <-l.addresses: // not followed yet, and out of date
	default:
	}
	l.addresses <- addr
}

// ConnectionsOpened is how many links have been opened.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

// Run keeps a link open at the address in force until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	leave := func() {} // the address in force so far
	defer func() { leave() }()
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case addr := <-l.addresses:
			leave()
			stay, stop := context.WithCancel(ctx)
			leave = stop
			g.Go(func() error { l.reconnect(ctx, stay, addr); return nil })
		}
	}
}

// reconnect opens links to addr, one after the other, for as long as stay lasts.
func (l *Link) reconnect(ctx, stay context.Context, addr string) {
	wait := backoff.New(minBackoff, maxBackoff, l.seed, backoffPurpose)
	for stay.Err() == nil {
		began := time.Now()
		if err := l.serve(ctx, stay, addr); err != nil && stay.Err() == nil {
			l.log.Warn("agent", "link to the agent broke; opening it again", err)
		}
		if time.Since(began) > maxBackoff {
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
	w := writequeue.New(nc, writeQueueSize)
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, w.Close)()
	defer context.AfterFunc(stay, func() { _ = nc.SetReadDeadline(time.Now().Add(drainTimeout)) })()
	g.Go(w.Run)
	l.post(func() { l.handleOpened(addr, w) })
	g.Go(func() error { return l.read(nc, w) })
	err = g.Wait()
	l.post(func() { l.handleClosed(w) })
	return err
}

func (l *Link) read(nc net.Conn, w *writequeue.Queue) error {
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
		l.post(func() { l.handleNotification(w, n) })
	}
}

func (l *Link) handleOpened(addr string, w *writequeue.Queue) {
	if addr != l.address {
		w.Close() // the agent has moved meanwhile
		return
	}
	if l.current != nil {
		l.current.Close() // after what it has still to write
	}
	l.connectionsOpened++
	l.current, l.synced, l.awaitingFirst, l.gap = w, false, true, false
	l.noteReceived()
	w.Send(encodeSubscribe(l.lastOffset))
}

// noteReceived notes that the link leads somewhere.
func (l *Link) noteReceived() {
	l.unansweredSamples = 0
	if l.now != nil {
		l.lastReceived = l.now()
	}
}

// Check gives up a link that is open and brings nothing, for another to be opened. Sample does the same; before the first
// greeting nobody samples.
func (l *Link) Check() {
	if l.now == nil || l.current == nil {
		return
	}
	silent := l.now() - l.lastReceived
	if l.synced && l.unansweredSamples >= minUnansweredSamples && silent >= maxSilence || !l.synced && silent >= handshakeTimeout {
		l.log.Warn("agent silent", "the link to the agent is open and brings nothing; opening another", nil)
		l.abortConnection()
	}
}

func (l *Link) abortConnection() {
	l.current.Abort()
	l.current, l.synced = nil, false
}

// isSameAgent reports whether this is the agent that greeted before: one that is much younger than that one would be has
// been started meanwhile, knows of no run, and numbers its notices anew.
func (l *Link) isSameAgent(age time.Duration) bool {
	if l.handshakeAt.IsZero() {
		l.handshakeAt, l.handshakeAge = time.Now(), age
	} else if age < (l.handshakeAge+time.Since(l.handshakeAt))/2-ageTolerance {
		l.handshakeAt, l.handshakeAge, l.lastOffset = time.Now(), age, 0
		return false
	}
	return true
}

func (l *Link) handleClosed(w *writequeue.Queue) {
	if l.current == w {
		l.current, l.synced = nil, false
	}
}

// handleNotification takes a notice in the loop: what was seen on an earlier link is dropped.
func (l *Link) handleNotification(w *writequeue.Queue, n Notification) {
	if w != l.current {
		return
	}
	l.noteReceived()
	if n.Offset > 0 && (n.Kind == Outcome || n.Kind == CallRequest || n.Kind == Aside) {
		if n.Offset <= l.lastOffset {
			return
		}
		l.gap = l.gap || l.awaitingFirst && n.Offset > l.lastOffset+1
		l.awaitingFirst, l.lastOffset = false, n.Offset
	}
	switch n.Kind {
	case Handshake:
		if !l.isSameAgent(n.Elapsed) {
			l.log.Warn("agent restarted", "the agent was started anew; its runs are lost", nil)
			l.abortConnection() // the next link asks for its notices from the first
			l.reportLoss()
			return
		}
		// All notices that were missed come before the answer to this sample. Only then is it
		// known which of the unread commands still make sense.
		l.sendSample()
	case Gauges:
		l.handleSample(n.Token)
	case Outcome, CallRequest:
		l.Forget(n.RequestID)
	}
	l.onNotification(n)
}

// handleSample drops what was sent before the sample: commands are read in order. The first answer on a
// link also opens it for commands, beginning with those that the last link may have lost.
func (l *Link) handleSample(token string) {
	seq, err := strconv.ParseInt(token, 10, 64)
	if err != nil {
		return
	}
	if l.synced {
		l.removeCommands(func(c command) bool { return c.sequence < seq })
		if slices.ContainsFunc(l.unacknowledged, func(c command) bool { return c.nonIdempotent }) {
			l.sendSample() // it was sent since
		}
		return
	}
	l.synced = true
	if l.gap {
		l.log.Warn("agent gap", "the agent no longer has all notices; runs in hand are given up", nil)
		l.reportLoss()
	}
	var all []byte
	for _, c := range l.unacknowledged {
		all = append(all, c.line...)
	}
	if len(all) > 0 {
		l.current.Send(all) // at once: they may be more than there is room for
	}
}

// reportLoss tells that nobody will tell of the runs in hand.
func (l *Link) reportLoss() {
	l.gap = false
	if l.onLost != nil {
		l.onLost()
	}
}

func (l *Link) removeCommands(gone func(command) bool) {
	l.unacknowledged = slices.DeleteFunc(l.unacknowledged, gone)
}

// Forget drops the commands about a request, which need not be sent again: a notice about it proves
// that they were read, or nobody wants them any more.
func (l *Link) Forget(req string) {
	l.removeCommands(func(c command) bool { return c.requestID == req })
}

func (l *Link) send(req string, line []byte, once bool) {
	l.lastSequence++
	l.unacknowledged = append(l.unacknowledged, command{l.lastSequence, req, line, once})
	if l.synced {
		l.current.Send(line)
	}
}

// Launch runs a request.
func (l *Link) Launch(req, class string, payload []byte) {
	l.send(req, encodeLaunch(req, class, payload), false)
}

// Reply hands a run the reply to the call that it waits for. The protocol gives it no number: sent again after a break, it
// would answer the run's next call if that had come by then. So a sample asks at once whether it was read, not at the
// next sweep, and what a break may still leave in doubt is what the agent reads within a round trip.
func (l *Link) Reply(req string, payload []byte) {
	l.send(req, encodeReply(req, payload), true)
	if l.synced && l.unansweredSamples == 0 {
		l.sendSample()
	}
}

// SkipCall lets a run go on without the call that the notice at offset asked for.
func (l *Link) SkipCall(req string, offset int64) {
	l.send(req, encodeSkipCall(req, offset), false)
}

// SampleGauges asks for the gauges.
func (l *Link) SampleGauges() {
	if l.synced {
		l.sendSample()
	}
	l.Check()
}

func (l *Link) sendSample() {
	l.lastSequence++
	l.unansweredSamples++
	l.current.Send(encodeWithToken("sample", strconv.FormatInt(l.lastSequence, 10)))
}

// ErrNotConnected says that there is no link.
var ErrNotConnected = errors.New("no link to the agent")

// DeepCheck asks for the work of a deep health check; its end names the token.
func (l *Link) DeepCheck(token string) error {
	if !l.synced {
		return ErrNotConnected
	}
	l.current.Send(encodeWithToken("exercise", token))
	return nil
}
