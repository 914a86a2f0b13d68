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
	maxOpenCalls       = 32               // requests open on one connection
	writeQueueCapacity = 4 * maxOpenCalls // messages that wait to be written on one connection
)

// conn is one connection of a client; it implements server.Connection, whose methods the server's loop calls. The
// write queue and the reader (serve) run on goroutines of their own.
type conn struct {
	queue   *writequeue.Queue
	netConn net.Conn
	input   input
	methods methodCache // the reader's

	closeOnce sync.Once
	closed    chan struct{} // closed by Close: nothing more is to be read
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

// writeUntilClosed writes what is queued until the connection is closed or ctx ends, lets the client read it, and then
// releases the socket.
func (c *conn) writeUntilClosed(ctx context.Context) {
	defer context.AfterFunc(ctx, c.Close)()
	if c.queue.Run() == nil { // an error is reported by the reader
		select {
		case <-c.input.done:
		case <-time.After(closeReadTimeout):
		}
	}
	c.Close()             // for a paused reader
	_ = c.netConn.Close() // may be closed already
}

// serve reads until the connection has ended or is not to be read any more, and reports each end of reading to srv and
// to onReadEnd. All that has arrived by then has been handed over; what arrives later is discarded.
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

// endReading notes why no more is read for the time being. A client that has disconnected is written to no more.
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

// isPause reports whether reading may go on after it has ended for that reason: the server decides.
func isPause(reason server.EndReason) bool {
	return reason == server.ReadPaused || reason == server.ReadTimeout
}

// awaitResume waits until a paused reader is to go on, and reports whether it is; the connection is closed otherwise.
func (c *conn) awaitResume() bool {
	select {
	case <-c.input.resumed:
		return true
	case <-c.closed:
		return false
	}
}

// endReason maps the error that ended a read to what the server is told.
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

// readMessages hands messages to srv until reading pauses or ends. A malformed frame ends the connection, and so does
// a message that does not arrive in time: a silent connection takes the place of another client.
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

// dispatch hands one message to srv. An unknown notification is ignored.
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

// TryClose implements server.Connection. Where all answers are written, only two system calls lie between its look at
// the unread input and the end of the connection.
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
