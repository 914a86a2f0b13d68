// Package store makes calls to the store that all image servers share.
package store

import (
	"context"
	"slices"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/deadline"
	"falldeal/internal/logging"
	"falldeal/internal/reconnect"
	"falldeal/internal/writequeue"

	"golang.org/x/sync/errgroup"
)

// Loop is what a Link needs of the loop that owns it.
type Loop struct {
	Post      func(func()) // hands a function to the loop, from any goroutine
	Now       func() time.Duration
	Deadlines *deadline.Queue
}

// Link makes calls, each on a connection that carries no other at the time: a reply that cannot be read, or that never
// comes, then costs that call and no other. Connections are opened as calls need them, used again while that is soon,
// and closed otherwise. Its methods but Run belong to the goroutine of the loop.
type Link struct {
	address  string // in force
	loop     Loop
	onResult func(requestID string, result Result, body []byte)
	log      *logging.Limiter

	calls   map[string]*call // in flight, by request
	waiting []*call          // for a connection, in order

	maxConnections    int // open ones and dials together
	connections       map[*writequeue.Queue]*connection
	idle              []*connection // longest idle first: by then its close or a second reply would show
	connectionsOpened uint64

	dialRequests  chan *dial // to Run; has room for all that may be in flight
	dialsInFlight int        // cancelled or not
	wantedDials   []*dial    // those that calls wait for, in order: never more than such calls
	backoff       *backoff.Backoff
	dialDelay     time.Duration // before the next dial
}

// call is one call that has no reply yet and was not given up.
type call struct {
	requestID     string
	body          []byte
	deadline      time.Duration
	connection    *connection // nil while it waits for one
	deadlineTimer *deadline.Entry
}

// New returns a Link to the store at address over up to maxConnections connections that reports the end of each call to
// onResult, within the loop. The jitter of its dials follows from seed.
func New(address string, maxConnections int, seed uint64, loop Loop,
	onResult func(requestID string, result Result, body []byte), log *logging.Limiter) *Link {
	return &Link{
		address:        address,
		loop:           loop,
		onResult:       onResult,
		log:            log,
		calls:          map[string]*call{},
		maxConnections: maxConnections,
		connections:    map[*writequeue.Queue]*connection{},
		dialRequests:   make(chan *dial, maxConnections),
		backoff: backoff.New(backoff.Config{
			BaseDelay: minBackoff,
			MaxDelay:  maxBackoff,
			Seed:      seed,
			Stream:    jitterStream,
		}),
	}
}

// Run opens connections as calls need them, until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case request := <-l.dialRequests:
			group.Go(func() error {
				l.serve(ctx, request)
				return nil
			})
		}
	}
}

// InFlight returns how many calls have no reply yet and were not given up.
func (l *Link) InFlight() int { return len(l.calls) }

// ConnectionsOpened returns how many connections have been opened.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

// Call makes a call for the run of a request and gives it up at deadline, by the clock of the loop. A call in flight for
// the same request is abandoned.
func (l *Link) Call(requestID string, deadline time.Duration, body []byte) {
	l.Abandon(requestID)
	added := &call{requestID: requestID, body: body, deadline: deadline}
	added.deadlineTimer = l.loop.Deadlines.Add(deadline, func() {
		l.Abandon(requestID)
		l.onResult(requestID, Expired, nil)
	})
	l.calls[requestID] = added
	if conn := l.takeIdle(requestID); conn != nil {
		l.startCall(added, conn)
		return
	}
	l.waiting = append(l.waiting, added)
	l.adjustDials()
}

// Abandon gives up the call for a request, and reports whether there is one. Its end is not reported.
func (l *Link) Abandon(requestID string) bool {
	abandoned := l.calls[requestID]
	if abandoned == nil {
		return false
	}
	l.endCall(abandoned)
	if conn := abandoned.connection; conn != nil {
		conn.Send(appendDrop(nil, requestID))
		l.closeConnection(conn) // its reply may still come, or never
	}
	return true
}

// SetAddress has new calls made at another address. Those in flight may end on their connections, if that is soon.
func (l *Link) SetAddress(address string) {
	if address == l.address {
		return
	}
	l.address = address
	l.resetBackoff()
	for _, conn := range l.idle {
		l.loop.Deadlines.Cancel(conn.idleTimer)
		l.closeConnection(conn)
	}
	l.idle = nil
	for _, conn := range l.connections {
		l.loop.Deadlines.Add(l.loop.Now()+reconnect.DrainTimeout, conn.Close)
	}
	for _, request := range l.wantedDials {
		request.cancel() // nothing new goes to the old address
	}
	l.wantedDials = nil
	l.adjustDials()
}

func (l *Link) startCall(started *call, conn *connection) {
	started.connection, conn.call = conn, started
	conn.Send(appendCall(nil, started.requestID, started.deadline-l.loop.Now(), started.body))
}

// endCall removes a call that has ended. Its connection is left to whoever ended it.
func (l *Link) endCall(ended *call) {
	l.loop.Deadlines.Cancel(ended.deadlineTimer)
	delete(l.calls, ended.requestID)
	if ended.connection != nil {
		ended.connection.call = nil
		return
	}
	if i := slices.Index(l.waiting, ended); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.adjustDials()
	}
}

// takeWaiting returns the call that has waited longest for a connection, nil where none waits.
func (l *Link) takeWaiting() *call {
	if len(l.waiting) == 0 {
		return nil
	}
	longest := l.waiting[0]
	l.waiting = slices.Delete(l.waiting, 0, 1)
	return longest
}
