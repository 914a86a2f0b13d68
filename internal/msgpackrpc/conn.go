package msgpackrpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"falldeal/internal/server"
	"falldeal/internal/writequeue"

	"golang.org/x/sys/unix"
)

const (
	maxOpenCalls       = 32               // requests open on one connection
	writeQueueCapacity = 4 * maxOpenCalls // messages that wait to be written on one connection
	messageTimeout     = 2 * time.Second  // for the first message of a connection, and for the rest of one that has begun

	// Of a peer from which nothing more is taken some bytes are still read, and for a moment, until it has read what was
	// written to it and closes: closing over unread bytes would take the last answers along. The moment is the
	// protocol's for requests that cross a close.
	lingerTimeout  = 50 * time.Millisecond
	maxLingerBytes = 1 << 20

	maxDrainBytes = maxOpenCalls * maxFrame // read at a time of a peer that is to be closed: all that it may have open
)

// errReadPaused says that nothing more is to be read.
var errReadPaused = errors.New("no more is read")

// conn is one connection of a front end. Its reader and its outbox run in goroutines of their own;
// the server's loop calls Answer, Closing, Finish, Resume, End and Close, none of which blocks.
type conn struct {
	*writequeue.Queue
	netConn     net.Conn
	frames      frameReader // the reader's, like the next three
	methods     methodCache
	limited     bool // a read may take so long only
	drainBudget int  // of maxDrainBytes
	finish      atomic.Bool
	resumed     chan struct{} // tells a reader that waits to read on; has room for one
	closeOnce   sync.Once
	closed      chan struct{} // closed by Close: nothing more is to be read
	readDone    chan struct{} // closed when nothing more is read
}

func newConn(nc net.Conn) *conn {
	c := &conn{Queue: writequeue.NewHalf(nc, writeQueueCapacity), netConn: nc, resumed: make(chan struct{}, 1), closed: make(chan struct{}),
		readDone: make(chan struct{})}
	c.drainBudget = maxDrainBytes
	c.frames = frameReader{source: c, onPartial: c.setReadLimit, partial: true} // the first message has a limit from the start
	return c
}

// serve reads until the connection has ended or is not to be read any more. What has come by then is all handed over: what
// may be read once the connection is shut is left to linger.
func (c *conn) serve(srv *server.Server, ended func(error)) {
	defer c.discardInput()
	err := c.setReadLimit(true)
	for {
		if err == nil {
			err = c.readMessages(srv)
		}
		ended(err)
		c.drainBudget = maxDrainBytes
		reason := endReason(err)
		if reason == server.Disconnected {
			c.Close()
		}
		srv.ReadEnded(c, reason)
		if reason != server.ReadPaused && reason != server.ReadTimeout {
			return
		}
		select {
		case <-c.resumed:
		case <-c.closed:
			return
		}
		c.frames.partial = false // what has begun has its time once more
		err = c.setReadLimit(false)
	}
}

// readMessages hands over messages until the connection ends. Broken framing ends it, and so does a message that
// does not come to its end: a connection that says nothing takes the place of a front end.
func (c *conn) readMessages(srv *server.Server) error {
	for {
		frame, err := c.frames.next()
		if err != nil {
			return err
		}
		msg, err := parseMessage(frame)
		if err != nil {
			return fmt.Errorf("%s: %w", c.netConn.RemoteAddr(), err)
		}
		if msg.kind == kindNotification {
			if id, ok := parseCancel(msg); ok {
				srv.Cancel(c, id)
			}
			continue
		}
		if string(msg.method) == methodHealth {
			deep, err := parseHealthCheck(msg)
			if err != nil {
				srv.RejectInvalid(c, msg.id, err)
			} else {
				srv.HealthCheck(c, msg.id, deep)
			}
			continue
		}
		attempt, err := parseRequest(msg, &c.methods)
		if err != nil {
			srv.RejectInvalid(c, msg.id, err)
			continue
		}
		srv.Submit(c, msg.id, attempt)
	}
}

// setReadLimit sets or lifts the limit on the time that a read may take.
func (c *conn) setReadLimit(on bool) error {
	c.limited = on
	var until time.Time
	if on {
		until = time.Now().Add(messageTimeout)
	}
	err := c.netConn.SetReadDeadline(until)
	if c.finish.Load() { // it may have been set in between
		err = c.netConn.SetReadDeadline(expiredDeadline)
	}
	return err
}

// expiredDeadline is a time that is over.
var expiredDeadline = time.Unix(1, 0)

// PauseReading implements server.Peer.
func (c *conn) PauseReading() {
	c.finish.Store(true)
	_ = c.netConn.SetReadDeadline(expiredDeadline) // a connection that is closed has no reader any more
}

// ResumeReading implements server.Peer.
func (c *conn) ResumeReading() {
	c.finish.Store(false)
	c.wakeReader()
}

func (c *conn) wakeReader() {
	select {
	case c.resumed <- struct{}{}:
	default:
	}
}

// TryClose implements server.Peer. Between its look at what has come and the end of the connection lies nothing but two calls
// of the system, where all answers are written.
func (c *conn) TryClose() bool {
	if c.hasUnreadInput() {
		c.finish.Store(true)
		c.wakeReader()
		return false
	}
	c.CloseNow()
	c.Close()
	return true
}

// Close implements server.Peer.
func (c *conn) Close() {
	c.Queue.Close()
	c.closeOnce.Do(func() { close(c.closed) })
}

// hasUnreadInput reports whether something has come that was not read, be it the end of the connection.
func (c *conn) hasUnreadInput() bool {
	sc, ok := c.netConn.(syscall.Conn)
	return ok && readable(sc)
}

// readable reports whether a read, or for a listener an Accept, would find something.
func readable(c syscall.Conn) (found bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		found = n > 0 && err == nil
	})
	return found && err == nil
}

// Read implements io.Reader for the frames. A limit that has passed counts only where nothing is there to be read:
// after a machine stood still, or while this process is behind, what came in time may wait beside it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.netConn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if c.finish.Load() && c.drainBudget <= 0 {
		return 0, errReadPaused
	}
	n, err = c.readAvailable(b)
	if n > 0 {
		c.drainBudget -= n
		return n, c.setReadLimit(c.limited)
	}
	if err == nil && c.finish.Load() {
		return 0, errReadPaused
	}
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	return 0, err
}

// readAvailable reads what is there, and returns 0 and no error where that is nothing.
func (c *conn) readAvailable(b []byte) (n int, err error) {
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.netConn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, readErr = syscall.Read(int(fd), b)
			if !errors.Is(readErr, syscall.EINTR) {
				return true
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, nil
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// discardInput reads on, for nobody, until the peer has closed its side or enough has come.
func (c *conn) discardInput() {
	if c.netConn.SetReadDeadline(time.Time{}) == nil {
		_, _ = io.CopyN(io.Discard, c.netConn, maxLingerBytes)
	}
	close(c.readDone)
}

// Answer implements server.Peer.
func (c *conn) Answer(call uint32, answer server.Answer) { c.Send(encodeAnswer(nil, call, answer)) }

// NotifyClosing implements server.Peer.
func (c *conn) NotifyClosing() { c.Send(encodeClosing(nil)) }

// MaxOpenCalls implements server.Peer.
func (c *conn) MaxOpenCalls() int { return maxOpenCalls }
