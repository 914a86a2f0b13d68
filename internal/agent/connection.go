package agent

import (
	"strconv"
	"time"

	"falldeal/internal/writequeue"
)

const (
	// A ready connection counts as broken after maxSilence without input, if at least minUnansweredSamples samples have
	// also remained unanswered. The agent answers a sample at once. Time alone is not enough: after this process was stopped
	// for a while, answers that arrived in time may still be unread.
	maxSilence           = 2 * time.Second
	minUnansweredSamples = 3

	// handshakeTimeout limits the silence of a connection that is not ready yet. A booting agent sends its handshake only
	// once it has started. If that takes longer, no harm is done: the agent sends the handshake on the next connection.
	handshakeTimeout = 10 * time.Second
)

// connectionState is the progress of a connection.
//
//	disconnected  -> synchronizing  a connection is opened and subscribes to the missed notifications
//	synchronizing -> ready          the sample after the handshake is answered: all missed notifications have arrived
//	any           -> disconnected   the connection ends, or the Link aborts it
type connectionState uint8

const (
	disconnected connectionState = iota
	synchronizing
	ready // accepts commands
)

// String returns the name of the state.
func (s connectionState) String() string {
	switch s {
	case disconnected:
		return "disconnected"
	case synchronizing:
		return "synchronizing"
	case ready:
		return "ready"
	default:
		return "connectionState(" + strconv.Itoa(int(s)) + ")"
	}
}

// replayState tells whether the notifications of a connection continue those of the previous one. The first numbered
// notification changes replayPending to replayContiguous or replayGap, which is final.
type replayState uint8

const (
	replayPending    replayState = iota // no numbered notification yet
	replayContiguous                    // the first one follows the last one read before
	replayGap                           // notifications between the last one read before and the first one are lost
)

// String returns the name of the state.
func (s replayState) String() string {
	switch s {
	case replayPending:
		return "pending"
	case replayContiguous:
		return "contiguous"
	case replayGap:
		return "gap"
	default:
		return "replayState(" + strconv.Itoa(int(s)) + ")"
	}
}

// connection is the current connection to the agent. It belongs to the loop.
type connection struct {
	queue             *writequeue.Queue
	state             connectionState
	replay            replayState
	lastReceived      time.Duration // time of the last input, or of the opening
	unansweredSamples int           // samples sent since lastReceived; reset by any input, not only by an answer
	lastSample        int64         // sequence number of the sample sent last; 0: none
	lastAnswered      int64         // sequence number of the sample answered last; 0: none
}

// recordSample records that a sample was sent.
func (c *connection) recordSample(sequence int64) {
	c.unansweredSamples++
	c.lastSample = sequence
}

// sampleInFlight reports whether the sample sent last is not answered yet. The agent answers samples in order.
func (c *connection) sampleInFlight() bool { return c.lastAnswered < c.lastSample }

// recordReceived records that input arrived at now.
func (c *connection) recordReceived(now time.Duration) {
	c.unansweredSamples = 0
	c.lastReceived = now
}

// recordOffset records the offset of a new numbered notification. last is the offset of the last one read before it, which
// may be that of an earlier connection.
func (c *connection) recordOffset(offset, last int64) {
	if c.replay != replayPending {
		return
	}
	c.replay = replayContiguous
	if offset > last+1 {
		c.replay = replayGap
	}
}

// isSilent reports whether the connection counts as broken at now.
func (c *connection) isSilent(now time.Duration) bool {
	silence := now - c.lastReceived
	if c.state != ready {
		return silence >= handshakeTimeout
	}
	return c.unansweredSamples >= minUnansweredSamples && silence >= maxSilence
}

// state returns the state of the current connection.
func (l *Link) state() connectionState {
	if l.current == nil {
		return disconnected
	}
	return l.current.state
}

func (l *Link) isCurrent(queue *writequeue.Queue) bool {
	return l.current != nil && l.current.queue == queue
}

// abortConnection closes the current connection at once and drops unwritten messages. The reconnect.Link then opens
// another one, unless the next one is open already.
func (l *Link) abortConnection() {
	l.current.queue.Abort()
	l.current = nil
	l.switchToNext()
}
