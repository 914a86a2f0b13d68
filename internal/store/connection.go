package store

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"falldeal/internal/deadline"
	"falldeal/internal/reconnect"
	"falldeal/internal/writequeue"

	"github.com/sirupsen/logrus"
)

const (
	writeQueueSize = 8                     // messages waiting to be written on a connection
	readBufferSize = 4 << 10               // bytes
	idleTimeout    = 50 * time.Millisecond // the store may close a connection that is idle for longer

	// maxCallsPerConnection bounds the requests that a connection remembers, and how often they are searched.
	maxCallsPerConnection = 64
)

// connection is a connection to the store. It carries one call or is idle. It belongs to the loop.
type connection struct {
	queue     *writequeue.Queue
	address   string
	retired   bool            // no further call is sent on it
	call      *call           // the call that it carries; nil: idle
	answered  []string        // request IDs of the calls that were answered on it
	idleTimer *deadline.Entry // closes the connection after idleTimeout
}

// mayCarryCalls reports whether further calls may be sent on the connection, if calls currently go to address.
func (c *connection) mayCarryCalls(address string) bool {
	return !c.retired && c.address == address && len(c.answered) < maxCallsPerConnection
}

// mayCarryCallFor reports whether a call for a request may be sent on the connection. A reply names its request and not its
// call. If the connection has answered an earlier call for the request, a duplicate of that reply may still arrive on it.
func (c *connection) mayCarryCallFor(requestID string) bool {
	return !slices.Contains(c.answered, requestID)
}

// carriesCallFor reports whether the connection carries the call for a request.
func (c *connection) carriesCallFor(requestID string) bool {
	return c.call != nil && c.call.requestID == requestID
}

// serve handles one connection from the dial to its end, on a goroutine of Run.
func (l *Link) serve(ctx context.Context, request *dial) {
	defer context.AfterFunc(ctx, request.cancel)()
	conn, err := request.open()
	if err != nil {
		l.loop.Post(func() { l.handleDialFailed(request, err) })
		return
	}
	queue := writequeue.New(conn, writeQueueSize)
	err = reconnect.Serve(ctx, queue, func() error {
		l.loop.Post(func() { l.handleOpened(request, queue) })
		return l.readReplies(conn, queue)
	})
	l.loop.Post(func() { l.handleClosed(queue, err) })
}

// readReplies reads replies and hands them to the loop until reading or parsing fails.
func (l *Link) readReplies(conn net.Conn, queue *writequeue.Queue) error {
	reader := bufio.NewReaderSize(conn, readBufferSize)
	for {
		frame, err := readReply(reader)
		if err != nil {
			return err
		}
		l.loop.Post(func() { l.handleReply(queue, frame) })
	}
}

// The methods below run on the loop.

// handleDialFailed ends the call that has waited longest with ConnectionRefused. A dial that was cancelled says nothing about
// the store and ends no call.
func (l *Link) handleDialFailed(failed *dial, err error) {
	if l.dialer.finish(failed) {
		l.dialer.increaseDelay()
		l.log.WarnFields("store dial", "store dial failed", err, logrus.Fields{
			"address":        failed.address,
			"retry_after_ms": l.dialer.delay.Milliseconds(),
		})
		if refused := l.waiting.takeFirst(); refused != nil {
			l.endCall(refused, ConnectionRefused)
		}
	}
	l.adjustDials()
}

// handleOpened makes a new connection available to calls. If the address has been replaced since the dial started, it
// closes the connection.
func (l *Link) handleOpened(ended *dial, queue *writequeue.Queue) {
	l.dialer.finish(ended)
	if ended.address != l.address {
		queue.Close()
		l.adjustDials()
		return
	}
	l.connectionsOpened++
	l.dialer.resetDelay()
	opened := &connection{queue: queue, address: ended.address}
	l.connections[queue] = opened
	l.assign(opened)
	l.adjustDials()
}

// handleReply ends the call that was answered.
func (l *Link) handleReply(queue *writequeue.Queue, frame replyFrame) {
	conn := l.connections[queue]
	if conn == nil {
		return
	}
	if !conn.carriesCallFor(frame.requestID) {
		l.handleUnsolicitedReply(conn)
		return
	}
	l.removeCall(conn.call)
	conn.answered = append(conn.answered, frame.requestID)
	if conn.mayCarryCalls(l.address) {
		l.assign(conn)
	} else {
		l.closeConnection(conn)
	}
	l.onResult(frame.requestID, frame.result, frame.body)
}

// handleUnsolicitedReply handles a reply that does not belong to the call that its connection carries: no further call is sent
// on the connection, but the call that it carries may still be answered.
func (l *Link) handleUnsolicitedReply(conn *connection) {
	conn.retired = true
	if conn.call == nil {
		l.removeIdle(conn)
		l.closeConnection(conn)
	}
}

// handleClosed removes a connection that has ended and ends the call that it carried. It ignores a connection that the Link
// has closed itself.
func (l *Link) handleClosed(queue *writequeue.Queue, err error) {
	conn := l.connections[queue]
	if conn == nil {
		return
	}
	l.removeIdle(conn)
	l.closeConnection(conn)
	if broken := conn.call; broken != nil {
		l.log.WarnFields("store connection", "store connection lost during a call", err, logrus.Fields{
			"address":    conn.address,
			"request_id": broken.requestID,
		})
		l.endCall(broken, ConnectionBroken)
	}
}

// assign gives a connection to the call that has waited longest of those that it may carry. If there is none, the connection
// becomes idle and is closed after idleTimeout.
func (l *Link) assign(conn *connection) {
	if waiting := l.waiting.takeFor(conn); waiting != nil {
		l.startCall(waiting, conn)
		return
	}
	l.idle.add(conn)
	conn.idleTimer = l.loop.Deadlines.Add(l.loop.Now()+idleTimeout, func() {
		l.removeIdle(conn)
		l.closeConnection(conn)
	})
	l.adjustDials() // a call that the connection may not carry may need its place
}

// removeIdle removes a connection from the idle pool, if it is there, and stops its idle timer.
func (l *Link) removeIdle(conn *connection) {
	if l.idle.remove(conn) {
		l.loop.Deadlines.Cancel(conn.idleTimer)
	}
}

// closeConnection closes and removes a connection.
func (l *Link) closeConnection(conn *connection) {
	conn.queue.Close()
	delete(l.connections, conn.queue)
	l.adjustDials()
}
