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
)

const (
	writeQueueSize = 8                     // lines that wait to be written on a connection
	readBufferSize = 4 << 10               // bytes
	idleTimeout    = 50 * time.Millisecond // the store may have forgotten one idle for longer, and a dial takes 0.1 ms
)

// connection is one connection to the store.
type connection struct {
	*writequeue.Queue
	address       string // empty: no further call is made on it
	call          *call  // that it carries
	lastRequestID string // of the call before that
	idleTimer     *deadline.Entry
}

// serve runs one connection from its dial to its end.
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

// readReplies hands replies to the loop until one cannot be read.
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

func (l *Link) handleOpened(ended *dial, queue *writequeue.Queue) {
	l.removeDial(ended)
	if ended.address != l.address {
		queue.Close()
		l.adjustDials()
		return
	}
	l.connectionsOpened++
	l.resetBackoff()
	opened := &connection{Queue: queue, address: ended.address}
	l.connections[queue] = opened
	l.assign(opened)
	l.adjustDials()
}

// assign gives a connection to the call that has waited longest, or keeps it idle for a moment.
func (l *Link) assign(conn *connection) {
	if waiting := l.takeWaiting(); waiting != nil {
		l.startCall(waiting, conn)
		return
	}
	l.idle = append(l.idle, conn)
	conn.idleTimer = l.loop.Deadlines.Add(l.loop.Now()+idleTimeout, func() {
		l.removeIdle(conn)
		l.closeConnection(conn)
	})
}

// takeIdle returns the connection that has been idle longest, nil where there is none. One that carried the last call of
// the same request is left out: a second copy of that reply would be taken for the answer to this call.
func (l *Link) takeIdle(requestID string) *connection {
	for _, conn := range l.idle {
		if conn.lastRequestID != requestID {
			l.removeIdle(conn)
			return conn
		}
	}
	return nil
}

// removeIdle takes a connection from the idle ones, if it is among them.
func (l *Link) removeIdle(conn *connection) {
	if i := slices.Index(l.idle, conn); i >= 0 {
		l.idle = slices.Delete(l.idle, i, i+1)
		l.loop.Deadlines.Cancel(conn.idleTimer)
	}
}

// closeConnection ends a connection that carries no call any more.
func (l *Link) closeConnection(conn *connection) {
	conn.Close()
	delete(l.connections, conn.Queue)
	l.adjustDials()
}

func (l *Link) handleReply(queue *writequeue.Queue, frame replyFrame) {
	conn := l.connections[queue]
	if conn == nil {
		return
	}
	replied := conn.call
	if replied == nil || replied.requestID != frame.requestID {
		l.handleUnsolicitedReply(conn)
		return
	}
	l.endCall(replied)
	conn.lastRequestID = frame.requestID
	if conn.address == l.address {
		l.assign(conn)
	} else {
		l.closeConnection(conn)
	}
	l.onResult(frame.requestID, frame.result, frame.body)
}

// handleUnsolicitedReply has no further call made on a connection. The one that it carries may still be answered.
func (l *Link) handleUnsolicitedReply(conn *connection) {
	conn.address = ""
	if conn.call == nil {
		l.removeIdle(conn)
		l.closeConnection(conn)
	}
}

func (l *Link) handleClosed(queue *writequeue.Queue, err error) {
	conn := l.connections[queue]
	if conn == nil {
		return
	}
	l.removeIdle(conn)
	l.closeConnection(conn)
	if broken := conn.call; broken != nil {
		l.log.Warn("store", "connection to the store broke during a call", err)
		l.endCall(broken)
		l.onResult(broken.requestID, ConnectionBroken, nil)
	}
}
