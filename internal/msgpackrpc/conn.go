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
	maxOpen = 32              // requests open on one connection
	outRoom = 4 * maxOpen     // messages that wait to be written on one connection
	within  = 2 * time.Second // for the first message of a connection, and for the rest of one that has begun

	// Of a peer from which nothing more is taken some bytes are still read, and for a moment, until it has read what was
	// written to it and closes: closing over unread bytes would take the last answers along. The moment is the
	// protocol's for requests that cross a close.
	lingerMost  = 50 * time.Millisecond
	lingerBytes = 1 << 20

	finishBytes = maxOpen * maxFrame // read at a time of a peer that is to be closed: all that it may have open
)

// errFinished says that nothing more is to be read.
var errFinished = errors.New("no more is read")

// conn is one connection of a front end. Its reader and its outbox run in goroutines of their own;
// the server's loop calls Answer, Closing, Finish, Resume, End and Close, none of which blocks.
type conn struct {
	*writequeue.Queue
	net      net.Conn
	in       frames // the reader's, like the next three
	known    names
	limited  bool // a read may take so long only
	left     int  // of finishBytes
	finish   atomic.Bool
	again    chan struct{} // tells a reader that waits to read on; has room for one
	once     sync.Once
	shut     chan struct{} // closed by Close: nothing more is to be read
	readDone chan struct{} // closed when nothing more is read
}

func newConn(nc net.Conn) *conn {
	c := &conn{Queue: writequeue.NewHalf(nc, outRoom), net: nc, again: make(chan struct{}, 1), shut: make(chan struct{}),
		readDone: make(chan struct{})}
	c.left = finishBytes
	c.in = frames{from: c, begun: c.limit, late: true} // the first message has a limit from the start
	return c
}

// serve reads until the connection has ended or is not to be read any more. What has come by then is all handed over: what
// may be read once the connection is shut is left to linger.
func (c *conn) serve(s *server.Server, ended func(error)) {
	defer c.linger()
	err := c.limit(true)
	for {
		if err == nil {
			err = c.read(s)
		}
		ended(err)
		c.left = finishBytes
		end := endOf(err)
		if end == server.Disconnected {
			c.Close()
		}
		s.ReadEnded(c, end)
		if end != server.ReadPaused && end != server.ReadTimeout {
			return
		}
		select {
		case <-c.again:
		case <-c.shut:
			return
		}
		c.in.late = false // what has begun has its time once more
		err = c.limit(false)
	}
}

// read hands over messages until the connection ends. Broken framing ends it, and so does a message that
// does not come to its end: a connection that says nothing takes the place of a front end.
func (c *conn) read(s *server.Server) error {
	for {
		frame, err := c.in.next()
		if err != nil {
			return err
		}
		m, err := parseMessage(frame)
		if err != nil {
			return fmt.Errorf("%s: %w", c.net.RemoteAddr(), err)
		}
		if m.kind == kindNotification {
			if id, ok := parseCancel(m); ok {
				s.Cancel(c, id)
			}
			continue
		}
		if string(m.method) == methodHealth {
			deep, err := parseProbe(m)
			if err != nil {
				s.RejectInvalid(c, m.id, err)
			} else {
				s.HealthCheck(c, m.id, deep)
			}
			continue
		}
		t, err := parseTry(m, &c.known)
		if err != nil {
			s.RejectInvalid(c, m.id, err)
			continue
		}
		s.Submit(c, m.id, t)
	}
}

// limit sets or lifts the limit on the time that a read may take.
func (c *conn) limit(on bool) error {
	c.limited = on
	var until time.Time
	if on {
		until = time.Now().Add(within)
	}
	err := c.net.SetReadDeadline(until)
	if c.finish.Load() { // it may have been set in between
		err = c.net.SetReadDeadline(passed)
	}
	return err
}

// passed is a time that is over.
var passed = time.Unix(1, 0)

// PauseReading implements server.Peer.
func (c *conn) PauseReading() {
	c.finish.Store(true)
	_ = c.net.SetReadDeadline(passed) // a connection that is closed has no reader any more
}

// ResumeReading implements server.Peer.
func (c *conn) ResumeReading() {
	c.finish.Store(false)
	c.goOn()
}

func (c *conn) goOn() {
	select {
	case c.again <- struct{}{}:
	default:
	}
}

// TryClose implements server.Peer. Between its look at what has come and the end of the connection lies nothing but two calls
// of the system, where all answers are written.
func (c *conn) TryClose() bool {
	if c.waits() {
		c.finish.Store(true)
		c.goOn()
		return false
	}
	c.CloseNow()
	c.Close()
	return true
}

// Close implements server.Peer.
func (c *conn) Close() {
	c.Queue.Close()
	c.once.Do(func() { close(c.shut) })
}

// waits reports whether something has come that was not read, be it the end of the connection.
func (c *conn) waits() bool {
	sc, ok := c.net.(syscall.Conn)
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
	n, err := c.net.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if c.finish.Load() && c.left <= 0 {
		return 0, errFinished
	}
	n, err = c.readNow(b)
	if n > 0 {
		c.left -= n
		return n, c.limit(c.limited)
	}
	if err == nil && c.finish.Load() {
		return 0, errFinished
	}
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	return 0, err
}

// readNow reads what is there, and returns 0 and no error where that is nothing.
func (c *conn) readNow(b []byte) (n int, err error) {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
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

// linger reads on, for nobody, until the peer has closed its side or enough has come.
func (c *conn) linger() {
	if c.net.SetReadDeadline(time.Time{}) == nil {
		_, _ = io.CopyN(io.Discard, c.net, lingerBytes)
	}
	close(c.readDone)
}

// Answer implements server.Peer.
func (c *conn) Answer(call uint32, a server.Answer) { c.Send(appendAnswer(nil, call, a)) }

// NotifyClosing implements server.Peer.
func (c *conn) NotifyClosing() { c.Send(appendClosing(nil)) }

// MaxOpenCalls implements server.Peer.
func (c *conn) MaxOpenCalls() int { return maxOpen }
