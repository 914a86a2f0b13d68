// Package store makes calls to the store that all image servers share.
//
// A connection carries one call at a time. A new call takes an idle connection if there is one. Otherwise it waits, and the
// Link starts one dial for each waiting call, up to a limit on connections and dials together. The connection that becomes
// free first, whether new or reused, goes to the call that has waited longest.
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

// Config configures a Link.
type Config struct {
	Address        string // TCP address of the store
	MaxConnections int    // limit on open connections and dials together
	Seed           uint64 // of the jitter of dial delays
}

// Loop is the interface of a Link to the event loop that owns it.
type Loop struct {
	Post      func(func())         // runs a function on the loop; may be called on any goroutine
	Now       func() time.Duration // clock of the loop; called only on the loop
	Deadlines *deadline.Queue      // timers of the loop; used only on the loop
}

// ResultHandler receives the result of the call for a request, on the loop. body is set only if the result is OK.
type ResultHandler func(requestID string, result Result, body []byte)

// Link makes calls. A connection carries one call at a time, so that an unreadable or missing reply affects only that call.
// The Link opens connections when calls need them, and closes a connection that has been idle for idleTimeout. All methods
// except Run are called on the loop and do not block.
type Link struct {
	address        string // for new calls
	maxConnections int    // limit on open connections and dials together
	loop           Loop
	onResult       ResultHandler
	log            *logging.Limiter

	calls   map[string]*call // in flight, by request ID
	waiting callQueue        // calls without a connection

	connections       map[*writequeue.Queue]*connection
	idle              idlePool
	connectionsOpened uint64
	dialer            dialer
}

// New returns a Link that reports the end of each call to onResult. It opens no connection before Run is called.
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

// Run opens connections when calls need them, until ctx ends. It needs its own goroutine.
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

// InFlight returns the number of calls that have no reply yet and were not abandoned.
func (l *Link) InFlight() int { return len(l.calls) }

// ConnectionsOpened returns the number of connections opened so far.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

// Call makes a call for the run of a request. At deadline, on the clock of the loop, the call is abandoned and reported as
// Expired. Call first abandons a call in flight for the same request.
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

// Abandon abandons the call for a request without reporting a result. It returns false if there is no such call.
func (l *Link) Abandon(requestID string) bool {
	abandoned := l.calls[requestID]
	if abandoned == nil {
		return false
	}
	l.removeCall(abandoned)
	if conn := abandoned.connection; conn != nil {
		conn.queue.Send(appendDrop(nil, requestID))
		l.closeConnection(conn) // the reply may still arrive, and must not be mistaken for that of another call
	}
	return true
}

// SetAddress sends new calls to another address. Calls in flight may complete on their connections within
// reconnect.DrainTimeout.
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

// startCall sends a call on an idle connection.
func (l *Link) startCall(started *call, conn *connection) {
	started.connection = conn
	conn.call = started
	conn.queue.Send(appendCall(nil, started.requestID, started.deadline-l.loop.Now(), started.body))
}

// removeCall removes a call that has ended. The caller decides what happens to its connection.
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

// endCall removes a call that has ended and reports its result.
func (l *Link) endCall(ended *call, result Result) {
	l.removeCall(ended)
	l.onResult(ended.requestID, result, nil)
}

// adjustDials makes the number of wanted dials equal to the number of waiting calls, within the connection limit.
// Surplus dials are cancelled, the oldest first: if the store does not respond, they would hang until reconnect.DialTimeout
// and take the places of dials for later calls. An idle connection, which no waiting call may use, is closed where the limit
// would prevent a dial.
func (l *Link) adjustDials() {
	for len(l.dialer.wanted) > len(l.waiting) {
		l.dialer.cancelOldest()
	}
	for len(l.dialer.wanted) < len(l.waiting) {
		switch {
		case l.mayDial():
			l.dialer.start(l.address)
		case len(l.idle) > 0:
			longestIdle := l.idle[0]
			l.removeIdle(longestIdle)
			l.closeConnection(longestIdle) // calls adjustDials, which starts the dial
		default:
			return
		}
	}
}

// mayDial reports whether another connection may be opened.
func (l *Link) mayDial() bool { return l.dialer.inFlight+len(l.connections) < l.maxConnections }
