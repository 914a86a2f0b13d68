// Package store makes calls to the store that all image servers share.
//
// Each call has a connection to itself while it is in flight. A call takes an idle connection where there is one, and
// otherwise waits: for each call that waits one dial is made, up to a limit of connections and dials together, and
// whatever becomes free first, a new connection or one whose call has ended, goes to the call that has waited longest.
package store

import (
	"context"
	"time"

	"falldeal/internal/deadline"
	"falldeal/internal/logging"
	"falldeal/internal/reconnect"
	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

// Config is what a Link is made with.
type Config struct {
	Address        string
	MaxConnections int    // open ones and dials together
	Seed           uint64 // of the jitter of dials
}

// Loop is what a Link needs of the event loop that owns it.
type Loop struct {
	Post      func(func())         // hands a function to the loop; called on any goroutine
	Now       func() time.Duration // the loop's clock; called on the loop
	Deadlines *deadline.Queue
}

// ResultHandler takes, on the loop, the end of the call for a request. The body is of a call that ended with OK.
type ResultHandler func(requestID string, result Result, body []byte)

// Link makes calls, each on a connection that carries no other at the time: a reply that cannot be read, or that never
// comes, then costs that call and no other. Connections are opened as calls need them, used again while that is soon,
// and closed otherwise. Its methods but Run are called on the loop, and none of them blocks.
type Link struct {
	address        string // in force
	maxConnections int    // open ones and dials together
	loop           Loop
	onResult       ResultHandler
	log            *logging.Limiter

	calls   map[string]*call // in flight, by request
	waiting callQueue        // those without a connection

	connections       map[*writequeue.Queue]*connection
	idle              idlePool
	connectionsOpened uint64
	dialer            dialer
}

// New returns a Link that reports the end of each call to onResult. Nothing is opened before Run.
func New(config Config, loop Loop, onResult ResultHandler, log *logging.Limiter) *Link {
	return &Link{
		address:        config.Address,
		maxConnections: config.MaxConnections,
		loop:           loop,
		onResult:       onResult,
		log:            log,
		calls:          map[string]*call{},
		connections:    map[*writequeue.Queue]*connection{},
		dialer:         newDialer(config.MaxConnections, config.Seed),
	}
}

// Run opens connections as calls need them, until ctx ends, on a goroutine of its own.
func (l *Link) Run(ctx context.Context) {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			_ = group.Wait() // its functions return no error
			return
		case request := <-l.dialer.requests:
			group.Go(func() error {
				l.serve(ctx, request)
				return nil
			})
		}
	}
}

// InFlight returns how many calls have no reply yet and were not abandoned.
func (l *Link) InFlight() int { return len(l.calls) }

// ConnectionsOpened returns how many connections have been opened.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

// Call makes a call for the run of a request and abandons it at deadline, by the clock of the loop. A call in flight for
// the same request is abandoned.
func (l *Link) Call(requestID string, deadline time.Duration, body []byte) {
	l.Abandon(requestID)
	added := &call{requestID: requestID, body: body, deadline: deadline}
	added.timer = l.loop.Deadlines.Add(deadline, func() {
		l.Abandon(requestID)
		l.onResult(requestID, Expired, nil)
	})
	l.calls[requestID] = added
	if conn := l.idle.longestIdle(requestID); conn != nil {
		l.removeIdle(conn)
		l.startCall(added, conn)
		return
	}
	l.waiting.add(added)
	l.adjustDials()
}

// Abandon ends the call for a request, and reports whether there is one. Its end is not reported.
func (l *Link) Abandon(requestID string) bool {
	abandoned := l.calls[requestID]
	if abandoned == nil {
		return false
	}
	l.removeCall(abandoned)
	if conn := abandoned.connection; conn != nil {
		conn.queue.Send(appendDrop(nil, requestID))
		l.closeConnection(conn) // its reply may still come, or never
	}
	return true
}

// SetAddress directs new calls to another address. Those in flight may end on their connections, if that is soon.
func (l *Link) SetAddress(address string) {
	if address == l.address {
		return
	}
	l.address = address
	l.dialer.resetDelay()
	for _, conn := range l.idle.takeAll() {
		l.loop.Deadlines.Cancel(conn.idleTimer)
		l.closeConnection(conn)
	}
	drained := l.loop.Now() + reconnect.DrainTimeout
	for _, conn := range l.connections {
		l.loop.Deadlines.Add(drained, conn.queue.Close)
	}
	l.dialer.cancelAll()
	l.adjustDials()
}

// startCall makes a call on a connection that carries none.
func (l *Link) startCall(started *call, conn *connection) {
	started.connection = conn
	conn.call = started
	conn.queue.Send(appendCall(nil, started.requestID, started.deadline-l.loop.Now(), started.body))
}

// removeCall removes a call that has ended. Its connection is left to whoever ended it.
func (l *Link) removeCall(ended *call) {
	l.loop.Deadlines.Cancel(ended.timer)
	delete(l.calls, ended.requestID)
	if ended.connection != nil {
		ended.connection.call = nil
		return
	}
	if l.waiting.remove(ended) {
		l.adjustDials()
	}
}

// endCall removes a call that has ended, and reports its result.
func (l *Link) endCall(ended *call, result Result) {
	l.removeCall(ended)
	l.onResult(ended.requestID, result, nil)
}

// adjustDials asks for connections for the calls that wait, as far as there may be more, and cancels the oldest dials that
// no call waits for any more: where the store does not answer at all they would hang for their whole time, and the calls
// that come next would wait for them.
func (l *Link) adjustDials() {
	for len(l.dialer.wanted) > len(l.waiting) {
		l.dialer.cancelOldest()
	}
	for len(l.dialer.wanted) < len(l.waiting) && l.mayDial() {
		l.dialer.start(l.address)
	}
}

// mayDial reports whether one more connection may be opened.
func (l *Link) mayDial() bool { return l.dialer.inFlight+len(l.connections) < l.maxConnections }
