package msgpackrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"falldeal/internal/server"
	"falldeal/internal/writequeue"
)

const (
	maxOpenCalls       = 32               // requests of one connection that may be unanswered at a time
	writeQueueCapacity = 4 * maxOpenCalls // messages of one connection that may wait to be written
)

// conn is one connection of a client. It implements server.Connection, whose methods the server's loop calls. Writing
// (writeUntilClosed) and reading (serve) run on separate goroutines.
type conn struct {
	queue   *writequeue.Queue
	netConn net.Conn
	input   input
	methods methodCache // used only by the reader

	closeOnce sync.Once
	closed    chan struct{} // closed by Close; ends a paused reader
}

func newConn(netConn net.Conn) *conn {
	connection := &conn{
		queue:   writequeue.NewHalf(netConn, writeQueueCapacity),
		netConn: netConn,
		closed:  make(chan struct{}),
	}
	connection.input.init(netConn)
	return connection
}

// writeUntilClosed writes queued messages until the connection is closed or ctx ends. It then waits up to closeReadTimeout for
// the client to close its side, so that the client can read the messages, and closes the socket. After a failed write it
// closes the socket at once, and the reader reports Disconnected unless reading has paused or ended before.
func (c *conn) writeUntilClosed(ctx context.Context) {
	defer context.AfterFunc(ctx, c.Close)()
	if c.queue.Run() == nil { // all messages are written
		select {
		case <-c.input.done:
		case <-time.After(closeReadTimeout):
		}
	}
	c.Close()             // ends a paused reader
	_ = c.netConn.Close() // may be closed already
}

// serve reads messages and hands them to srv. When reading pauses or ends, it reports the error to onReadEnd and the reason
// to srv. After a pause it continues if the server resumes reading. It returns when reading has ended for good or the
// connection is closed, and before that discards further input.
func (c *conn) serve(srv *server.Server, onReadEnd func(error)) {
	defer c.input.discard()
	err := c.input.applyDeadline()
	for {
		if err == nil {
			err = c.readMessages(srv)
		}
		onReadEnd(err)
		reason := endReason(err)
		c.endReading(reason)
		srv.ReadEnded(c, reason)
		if !isPause(reason) || !c.awaitResume() {
			return
		}
		err = c.input.restart()
	}
}

// endReading records that reading has paused or ended. If the client has disconnected, it also closes the connection, as
// nothing more can be written to it.
func (c *conn) endReading(reason server.EndReason) {
	if isPause(reason) {
		c.input.stop(paused)
	} else {
		c.input.stop(ended)
	}
	if reason == server.Disconnected {
		c.Close()
	}
}

// isPause reports whether the server may resume reading after it has ended for this reason.
func isPause(reason server.EndReason) bool {
	return reason == server.ReadPaused || reason == server.ReadTimeout
}

// awaitResume waits until a paused reader may continue. It returns false if the connection is closed instead.
func (c *conn) awaitResume() bool {
	select {
	case <-c.input.resumed:
		return true
	case <-c.closed:
		return false
	}
}

// endReason maps the error that ended reading to the reason reported to the server.
func endReason(err error) server.EndReason {
	var netErr net.Error
	switch {
	case errors.Is(err, errReadPaused):
		return server.ReadPaused
	case errors.Is(err, os.ErrDeadlineExceeded):
		return server.ReadTimeout
	case errors.Is(err, io.EOF), errors.As(err, &netErr):
		return server.Disconnected
	}
	return server.MalformedInput
}

// readMessages hands messages to srv until reading pauses or ends. A malformed frame ends reading. A message that does not
// arrive in time stops it too, because a silent connection would keep other clients out once all slots are taken.
func (c *conn) readMessages(srv *server.Server) error {
	for {
		frame, err := c.input.frames.next()
		if err != nil {
			return err
		}
		msg, err := parseMessage(frame)
		if err != nil {
			return err
		}
		c.dispatch(srv, msg)
	}
}

// dispatch hands one message to srv. It ignores unknown notifications.
func (c *conn) dispatch(srv *server.Server, msg message) {
	switch {
	case msg.kind == kindNotification:
		if call, ok := parseCancel(msg); ok {
			srv.Cancel(c, call)
		}
	case string(msg.method) == methodHealth:
		c.dispatchHealthCheck(srv, msg)
	default:
		c.dispatchRequest(srv, msg)
	}
}

func (c *conn) dispatchHealthCheck(srv *server.Server, msg message) {
	deep, err := parseHealthCheck(msg)
	if err != nil {
		srv.RejectInvalid(c, msg.call, err)
		return
	}
	srv.HealthCheck(c, msg.call, deep)
}

func (c *conn) dispatchRequest(srv *server.Server, msg message) {
	attempt, err := parseRequest(msg, &c.methods)
	if err != nil {
		srv.RejectInvalid(c, msg.call, err)
		return
	}
	srv.Submit(c, msg.call, attempt)
}

// Answer implements server.Connection.
func (c *conn) Answer(call uint32, answer server.Answer) { c.queue.Send(encodeAnswer(call, answer)) }

// NotifyClosing implements server.Connection.
func (c *conn) NotifyClosing() { c.queue.Send(encodeClosing()) }

// MaxOpenCalls implements server.Connection.
func (c *conn) MaxOpenCalls() int { return maxOpenCalls }

// PauseReading implements server.Connection.
func (c *conn) PauseReading() { c.input.pause() }

// ResumeReading implements server.Connection.
func (c *conn) ResumeReading() { c.input.resume() }

// TryClose implements server.Connection. Input that arrives between the check for unread input and the close is discarded. To
// keep this interval short, CloseNow closes the write side before it returns, if all answers are written: the check and the
// close are then two system calls in a row.
func (c *conn) TryClose() bool {
	if c.input.hasUnread() {
		c.input.drainMore()
		return false
	}
	c.queue.CloseNow()
	c.Close()
	return true
}

// Close implements server.Connection.
func (c *conn) Close() {
	c.queue.Close()
	c.closeOnce.Do(func() { close(c.closed) })
}
