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
	messageTimeout = 2 * time.Second // for the first message of a connection, and for the rest of a message that has begun

	maxDrainBytes = maxOpenCalls * maxFrame // read in one drain at most; enough for as many calls as may be open

	// After the last answer the server discards input until the client closes the connection, within these limits.
	// Closing a connection with unread input would reset it, and the client would lose the answers.
	closeReadTimeout  = 50 * time.Millisecond
	maxCloseReadBytes = 1 << 20
)

// input is the read side of a connection. The server's loop calls pause, resume, drainMore and hasUnread. init runs
// before the reading goroutine is started, and all other methods run on it.
type input struct {
	netConn net.Conn
	state   readStateMachine
	resumed chan struct{} // wakes a paused reader; buffers one signal
	done    chan struct{} // closed once reading has ended for good

	frames      frameReader
	drainBudget int // bytes that may still be read while draining
}

// init prepares the read side of netConn. The time limit for the first message starts with the first applyDeadline.
func (in *input) init(netConn net.Conn) {
	in.netConn = netConn
	in.resumed = make(chan struct{}, 1)
	in.done = make(chan struct{})
	in.frames = frameReader{source: in, onPartial: in.setPartial, partial: true}
	in.drainBudget = maxDrainBytes
}

// setPartial records whether the reader waits for the rest of a message, and sets the read deadline accordingly.
func (in *input) setPartial(partial bool) error {
	if partial {
		in.state.transition(receivingMessage, awaitingMessage)
	} else {
		in.state.transition(awaitingMessage, receivingMessage)
	}
	return in.applyDeadline()
}

// applyDeadline sets the read deadline of the current state. It repeats this if the state has changed since, because it may
// have overwritten the expired deadline that pause sets.
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

// stop records that reading has paused or ended, as state says, and refills the drain budget.
func (in *input) stop(state readState) {
	in.state.transition(state, receivingMessage, awaitingMessage, draining)
	in.drainBudget = maxDrainBytes
}

// restart prepares to read again after a pause. It resets frames.partial, so that the frame reader reports a message that has
// begun once more, which then gets the full time limit again.
func (in *input) restart() error {
	in.frames.partial = false
	return in.applyDeadline()
}

// pause makes the reader read what has arrived and then pause.
func (in *input) pause() {
	in.state.transition(draining, receivingMessage, awaitingMessage)
	_ = in.netConn.SetReadDeadline(expiredDeadline) // fails only on a closed connection, which is not read any more
}

// resume lets a paused reader continue.
func (in *input) resume() {
	in.state.transition(awaitingMessage, draining, paused)
	in.wake()
}

// drainMore makes a paused reader read what has arrived since it paused, and then pause again.
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

// hasUnread reports whether unread input has arrived, including the end of the stream.
func (in *input) hasUnread() bool {
	socket, ok := in.netConn.(syscall.Conn)
	return ok && readable(socket)
}

// Read implements io.Reader for the frame reader. An expired deadline counts only if no input has arrived: while the
// machine was paused or this process was slow, input that came in time may still be unread. While draining, the deadline is
// expired, so Read returns what has arrived and then errReadPaused.
func (in *input) Read(b []byte) (int, error) {
	n, err := in.netConn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err //nolint:wrapcheck // an io.Reader must return io.EOF unwrapped
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

// isDrained reports whether a draining connection has used up its drain budget.
func (in *input) isDrained() bool { return in.drainBudget <= 0 && in.state.current() == draining }

// readAvailable reads what has arrived without waiting. It returns 0 and no error if nothing has.
func (in *input) readAvailable(b []byte) (int, error) {
	socket, ok := in.netConn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	if err := in.netConn.SetReadDeadline(time.Time{}); err != nil { // an expired deadline would fail the read
		return 0, fmt.Errorf("clear read deadline: %w", err)
	}
	return readAvailable(socket, b)
}

// discard reads and discards input until the client closes its side, the connection is closed, or maxCloseReadBytes have
// arrived.
func (in *input) discard() {
	if in.netConn.SetReadDeadline(time.Time{}) == nil {
		_, _ = io.CopyN(io.Discard, in.netConn, maxCloseReadBytes)
	}
	close(in.done)
}
