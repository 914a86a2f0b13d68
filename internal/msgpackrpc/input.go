package msgpackrpc

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	messageTimeout = 2 * time.Second // for the first message of a connection, and for the rest of one that has begun

	maxDrainBytes = maxOpenCalls * maxFrame // read of a connection that pauses: all that it may have open

	// After the last answer some input is still read and discarded, until the client has read its answers and closes:
	// closing over unread bytes resets the connection, and the answers are lost.
	closeReadTimeout  = 50 * time.Millisecond // the protocol's time for requests that cross a close
	maxCloseReadBytes = 1 << 20
)

// input is the read side of a connection. Its methods belong to the reading goroutine, but for pause, resume,
// drainMore and hasUnread, which the server's loop calls.
type input struct {
	netConn net.Conn
	state   readStateMachine
	resumed chan struct{} // wakes a paused reader; holds one signal
	done    chan struct{} // closed when nothing more is read

	frames      frameReader
	drainBudget int // bytes that may still be read while draining
}

// init prepares the read side of netConn. The first message has a time limit from the start.
func (in *input) init(netConn net.Conn) {
	in.netConn = netConn
	in.resumed = make(chan struct{}, 1)
	in.done = make(chan struct{})
	in.frames = frameReader{source: in, onPartial: in.setPartial, partial: true}
	in.drainBudget = maxDrainBytes
}

// setPartial notes that the rest of a message is waited for, or no longer.
func (in *input) setPartial(partial bool) error {
	if partial {
		in.state.transition(receivingMessage, awaitingMessage)
	} else {
		in.state.transition(awaitingMessage, receivingMessage)
	}
	return in.applyDeadline()
}

// applyDeadline sets the deadline of the current state, and once more where the state changed meanwhile.
func (in *input) applyDeadline() error {
	for {
		state := in.state.current()
		if err := in.netConn.SetReadDeadline(state.readDeadline(time.Now())); err != nil {
			return err
		}
		if in.state.current() == state {
			return nil
		}
	}
}

// stop notes that reading has paused or ended, as state says.
func (in *input) stop(state readState) {
	in.state.transition(state, receivingMessage, awaitingMessage, draining)
	in.drainBudget = maxDrainBytes
}

// restart begins to read again after a pause. A message that had begun has its whole time limit once more.
func (in *input) restart() error {
	in.frames.partial = false
	return in.applyDeadline()
}

// pause has the reader read what has arrived and then pause.
func (in *input) pause() {
	in.state.transition(draining, receivingMessage, awaitingMessage)
	_ = in.netConn.SetReadDeadline(expiredDeadline) // fails on a closed connection, which has no reader any more
}

// resume has a paused reader go on.
func (in *input) resume() {
	in.state.transition(awaitingMessage, draining, paused)
	in.wake()
}

// drainMore has a paused reader read what has arrived since.
func (in *input) drainMore() {
	in.state.transition(draining, receivingMessage, awaitingMessage, paused)
	in.wake()
}

func (in *input) wake() {
	select {
	case in.resumed <- struct{}{}:
	default:
	}
}

// hasUnread reports whether something has arrived that was not read, be it the end of the connection.
func (in *input) hasUnread() bool {
	sc, ok := in.netConn.(syscall.Conn)
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

// Read implements io.Reader for the frames. A deadline that has expired counts only where nothing has arrived:
// after the machine stood still, or while this process is behind, input that came in time may be unread.
func (in *input) Read(b []byte) (int, error) {
	n, err := in.netConn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if in.drainBudget <= 0 && in.state.current() == draining {
		return 0, errReadPaused
	}
	n, err = in.readAvailable(b)
	switch {
	case n > 0:
		in.drainBudget -= n
		return n, in.applyDeadline()
	case err != nil:
		return 0, err
	case in.state.current() == draining:
		return 0, errReadPaused
	}
	return 0, os.ErrDeadlineExceeded
}

// readAvailable reads what has arrived without waiting, and returns 0 and no error where that is nothing.
func (in *input) readAvailable(b []byte) (n int, err error) {
	sc, ok := in.netConn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := in.netConn.SetReadDeadline(time.Time{}); err != nil { // raw.Read fails at once on an expired one
		return 0, err
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = readDescriptor(int(fd), b)
		return true
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

// readDescriptor reads from a descriptor, again where a signal interrupts it.
func readDescriptor(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// discard reads and discards input until the client has closed its side or enough has come.
func (in *input) discard() {
	if in.netConn.SetReadDeadline(time.Time{}) == nil {
		_, _ = io.CopyN(io.Discard, in.netConn, maxCloseReadBytes)
	}
	close(in.done)
}
