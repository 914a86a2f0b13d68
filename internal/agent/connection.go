package agent

import (
	"net"
	"strconv"
	"time"

	"falldeal/internal/writequeue"
)

const (
	// A connection that brought nothing for maxSilence, though minUnansweredSamples were sent meanwhile, is taken for
	// broken: the agent answers each at once. The count is for a process that was stopped, for which time has passed and answers
	// wait unread.
	maxSilence           = 2 * time.Second
	minUnansweredSamples = 3

	// handshakeTimeout is how long a connection may wait for its handshake: an agent that boots sends it once it is up,
	// and takes a new connection as well. A third of what a server may take to be ready on the platform.
	handshakeTimeout = 10 * time.Second
)

// connectionState is how far a connection has come. It only moves on.
type connectionState uint8

const (
	disconnected  connectionState = iota
	synchronizing                 // until the first sample is answered: missed notifications are in by then
	ready                         // takes commands
)

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

// replayState is whether the notifications of a connection follow those of the one before.
type replayState uint8

const (
	replayPending    replayState = iota // none with a number has come
	replayContiguous                    // the first was the next to that read last
	replayGap                           // some before the first are lost
)

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

// connection is the open connection to the agent.
type connection struct {
	queue             *writequeue.Queue
	state             connectionState
	replay            replayState
	lastReceived      time.Duration // when anything came last, or the connection was opened
	unansweredSamples int           // samples sent since then
}

// connectionHandler hands what happens on connections to the loop.
type connectionHandler struct{ link *Link }

func (h connectionHandler) Opened(address string, queue *writequeue.Queue) {
	h.link.post(func() { h.link.handleOpened(address, queue) })
}

func (h connectionHandler) Read(conn net.Conn, queue *writequeue.Queue) error {
	return newParser().ReadEach(conn, func(notification Notification) {
		h.link.post(func() { h.link.handleNotification(queue, notification) })
	})
}

func (h connectionHandler) Closed(queue *writequeue.Queue) {
	h.link.post(func() { h.link.handleClosed(queue) })
}

func (h connectionHandler) Failed(err error) {
	h.link.log.Warn("agent", "link to the agent broke; opening it again", err)
}

func (l *Link) state() connectionState {
	if l.current == nil {
		return disconnected
	}
	return l.current.state
}

func (l *Link) handleOpened(address string, queue *writequeue.Queue) {
	if address != l.connections.Address() {
		queue.Close() // the address has been replaced meanwhile
		return
	}
	if l.current != nil {
		l.current.queue.Close() // after what it has still to write
	}
	l.connectionsOpened++
	l.current = &connection{queue: queue, state: synchronizing}
	l.noteReceived()
	queue.Send(encodeSubscribe(l.lastOffset))
}

func (l *Link) handleClosed(queue *writequeue.Queue) {
	if l.isCurrent(queue) {
		l.current = nil
	}
}

func (l *Link) isCurrent(queue *writequeue.Queue) bool {
	return l.current != nil && l.current.queue == queue
}

// abortConnection gives up the current connection, whatever waits to be written; reconnecting opens another.
func (l *Link) abortConnection() {
	l.current.queue.Abort()
	l.current = nil
}

// noteReceived notes that the agent still answers on the current connection.
func (l *Link) noteReceived() {
	l.current.unansweredSamples = 0
	if l.now != nil {
		l.current.lastReceived = l.now()
	}
}

// CheckLiveness gives up a connection that brings nothing, for another to be opened. SampleGauges does the same, but is not
// called before the first handshake.
func (l *Link) CheckLiveness() {
	if l.now == nil || l.current == nil || !l.current.isSilent(l.now()) {
		return
	}
	l.log.Warn("agent silent", "the link to the agent is open and brings nothing; opening another", nil)
	l.abortConnection()
}

func (c *connection) isSilent(now time.Duration) bool {
	silence := now - c.lastReceived
	if c.state != ready {
		return silence >= handshakeTimeout
	}
	return c.unansweredSamples >= minUnansweredSamples && silence >= maxSilence
}

// handleNotification takes a notification in the loop. One that was read on an earlier connection is dropped.
func (l *Link) handleNotification(queue *writequeue.Queue, notification Notification) {
	if !l.isCurrent(queue) {
		return
	}
	l.noteReceived()
	if notification.isNumbered() && !l.advanceOffset(notification.Offset) {
		return
	}
	switch notification.Kind {
	case Handshake:
		if !l.handleHandshake(notification.Elapsed) {
			return
		}
	case Gauges:
		l.handleSample(notification.Token)
	case Outcome, CallRequest:
		l.DiscardCommands(notification.RequestID)
	case DeepCheckDone, CommandRejected, Aside: // nothing about the link
	}
	l.onNotification(notification)
}

// advanceOffset notes the offset of a notification, and reports whether it is a new one.
func (l *Link) advanceOffset(offset int64) bool {
	if offset <= l.lastOffset {
		return false
	}
	if l.current.replay == replayPending {
		l.current.replay = replayContiguous
		if offset > l.lastOffset+1 {
			l.current.replay = replayGap
		}
	}
	l.lastOffset = offset
	return true
}

// handleHandshake begins to synchronize, and reports whether the agent is the one that was connected before. One that was
// restarted knows of no run and numbers its notifications anew: the next connection asks for them from the first.
func (l *Link) handleHandshake(age time.Duration) (sameAgent bool) {
	if l.agent.isKnown() && !l.agent.matches(age) {
		l.agent, l.lastOffset = newIncarnation(age), 0
		l.log.Warn("agent restarted", "the agent was started anew; its runs are lost", nil)
		l.abortConnection()
		l.reportLoss()
		return false
	}
	if !l.agent.isKnown() {
		l.agent = newIncarnation(age)
	}
	// All notifications that were missed come before the answer to this sample. Only then is it known which of the
	// unacknowledged commands still make sense.
	l.sendSample()
	return true
}

// handleSample acknowledges the commands sent before the sample: the agent reads in order. The first answer on a connection
// has it take commands, beginning with those that the last one may have lost.
func (l *Link) handleSample(token string) {
	sequence, err := strconv.ParseInt(token, 10, 64)
	if err != nil {
		return
	}
	if l.current.state == ready {
		l.unacknowledged.acknowledge(sequence)
		if l.unacknowledged.hasNonIdempotent() {
			l.sendSample() // it was sent after the sample
		}
		return
	}
	l.current.state = ready
	if l.current.replay == replayGap {
		l.log.Warn("agent gap", "the agent no longer has all notices; runs in hand are given up", nil)
		l.reportLoss()
	}
	if lines := l.unacknowledged.lines(); len(lines) > 0 {
		l.current.queue.Send(lines) // in one message: the write queue may have no place for so many
	}
}

// reportLoss tells the loop that the outcome of runs in flight will not come.
func (l *Link) reportLoss() {
	if l.onLost != nil {
		l.onLost()
	}
}
