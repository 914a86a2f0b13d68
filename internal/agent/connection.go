package agent

import (
	"strconv"
	"time"

	"falldeal/internal/writequeue"
)

const (
	// A connection that takes commands is taken for broken once it has brought nothing for maxSilence and the answers to
	// minUnansweredSamples, which the agent sends at once. The count is for a process that was stopped: time has passed
	// for it, and answers wait unread.
	maxSilence           = 2 * time.Second
	minUnansweredSamples = 3

	// handshakeTimeout is how long a connection may bring nothing before it takes commands: an agent that boots sends its
	// handshake once it is up, and takes a new connection as well.
	handshakeTimeout = 10 * time.Second
)

// connectionState is how far a connection has come. It only moves on:
//
//	disconnected  -> synchronizing  when a connection is opened, which subscribes to the missed notifications
//	synchronizing -> ready          when the sample that follows the handshake is answered: all of them are in by then
//	any           -> disconnected   when the connection ends or is aborted
type connectionState uint8

const (
	disconnected connectionState = iota
	synchronizing
	ready // takes commands
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

// replayState is whether the notifications of a connection follow those of the one before. The first numbered one decides
// it: replayPending becomes replayContiguous or replayGap, and stays that.
type replayState uint8

const (
	replayPending    replayState = iota // no numbered one has come
	replayContiguous                    // the first was the next to that read last
	replayGap                           // some before the first are lost
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

// connection is the open connection to the agent. It belongs to the loop.
type connection struct {
	queue             *writequeue.Queue
	state             connectionState
	replay            replayState
	lastReceived      time.Duration // when anything came last, or the connection was opened
	unansweredSamples int           // samples sent since then
}

// noteReceived notes at now that the agent still answers.
func (c *connection) noteReceived(now time.Duration) {
	c.unansweredSamples = 0
	c.lastReceived = now
}

// noteOffset notes the offset of a new numbered notification, of which the one before had the offset last.
func (c *connection) noteOffset(offset, last int64) {
	if c.replay != replayPending {
		return
	}
	c.replay = replayContiguous
	if offset > last+1 {
		c.replay = replayGap
	}
}

// isSilent reports whether the connection is to be taken for broken at now.
func (c *connection) isSilent(now time.Duration) bool {
	silence := now - c.lastReceived
	if c.state != ready {
		return silence >= handshakeTimeout
	}
	return c.unansweredSamples >= minUnansweredSamples && silence >= maxSilence
}

// state returns how far the current connection has come.
func (l *Link) state() connectionState {
	if l.current == nil {
		return disconnected
	}
	return l.current.state
}

func (l *Link) isCurrent(queue *writequeue.Queue) bool {
	return l.current != nil && l.current.queue == queue
}

// abortConnection ends the current connection, whatever waits to be written; reconnecting opens another.
func (l *Link) abortConnection() {
	l.current.queue.Abort()
	l.current = nil
}
