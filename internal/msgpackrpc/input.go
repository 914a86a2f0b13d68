package msgpackrpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	messageTimeout = 2 * time.Second // for the first message of a connection, and for the rest of one that has begun

	maxDrainBytes = maxOpenCalls * maxFrame // read of a connection that pauses: all that it may have open

	// After the last answer some input is still read and discarded, until the client has read its answers and closes:
	// closing over unread bytes resets the connection, and the answers are lost.
	closeReadTimeout  = 50 * time.Millisecond
	maxCloseReadBytes = 1 << 20
)

// input is the read side of a connection. Its methods are called on the reading goroutine, but for pause, resume,
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
			return fmt.Errorf("set read deadline: %w", err)
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
	socket, ok := in.netConn.(syscall.Conn)
	return ok && readable(socket)
}

// Read implements io.Reader for the frames. A deadline that has expired counts only where nothing has arrived:
// after the machine was paused, or while this process is behind, input that came in time may be unread.
func (in *input) Read(b []byte) (int, error) {
	n, err := in.netConn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err //nolint:wrapcheck // io.Reader: io.EOF has to be returned as it is
	}
	if in.isDrained() {
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

// isDrained reports whether as much was read as a connection that drains may have open.
func (in *input) isDrained() bool { return in.drainBudget <= 0 && in.state.current() == draining }

// readAvailable reads what has arrived without waiting, and returns 0 and no error where that is nothing.
func (in *input) readAvailable(b []byte) (int, error) {
	socket, ok := in.netConn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	if err := in.netConn.SetReadDeadline(time.Time{}); err != nil { // reading fails at once on an expired one
		return 0, fmt.Errorf("lift read deadline: %w", err)
	}
	return readAvailable(socket, b)
}

// discard reads and discards input until the client has closed its side or enough has come.
func (in *input) discard() {
	if in.netConn.SetReadDeadline(time.Time{}) == nil {
		_, _ = io.CopyN(io.Discard, in.netConn, maxCloseReadBytes)
	}
	close(in.done)
}
