package agent

import (
	"fmt"
	"net"
	"time"

	"falldeal/internal/writequeue"

	"github.com/sirupsen/logrus"
)

// connectionHandler implements reconnect.Handler and forwards the events of connections to the loop.
type connectionHandler struct{ link *Link }

// Opened implements reconnect.Handler.
func (h connectionHandler) Opened(address string, queue *writequeue.Queue) {
	h.link.loop.Post(func() { h.link.handleOpened(address, queue) })
}

// Read implements reconnect.Handler. A line that is not a valid notification ends the connection.
func (h connectionHandler) Read(conn net.Conn, queue *writequeue.Queue) error {
	err := newParser().ReadEach(conn, func(notification Notification) {
		h.link.loop.Post(func() { h.link.handleNotification(queue, notification) })
	})
	return fmt.Errorf("read notification: %w", err)
}

// Closed implements reconnect.Handler.
func (h connectionHandler) Closed(queue *writequeue.Queue) {
	h.link.loop.Post(func() { h.link.handleClosed(queue) })
}

// Failed implements reconnect.Handler.
func (h connectionHandler) Failed(address string, err error) {
	h.link.log.WarnFields("agent", "agent connection failed, reconnecting", err, logrus.Fields{"address": address})
}

// The methods below run on the loop.

// handleOpened prepares a new connection to become the current one. If the address has been replaced since the dial started,
// it closes the connection.
func (l *Link) handleOpened(address string, queue *writequeue.Queue) {
	if address != l.connections.Address() {
		queue.Close()
		return
	}
	if l.next != nil {
		l.next.queue.Close()
	}
	l.connectionsOpened++
	l.next = &connection{queue: queue, state: synchronizing}
	l.switchToNext()
}

// switchToNext makes the next connection, if there is one, the current one and subscribes to the missed notifications. The agent
// ends the connection before it at that. So while a reply on that one may still be acknowledged, switchToNext does nothing.
func (l *Link) switchToNext() {
	if l.next == nil || l.awaitsReplyAcknowledgement() {
		return
	}
	if l.current != nil {
		l.current.queue.Close() // the queued commands are still written
	}
	l.current, l.next = l.next, nil
	l.current.recordReceived(l.loop.Now())
	l.current.queue.Send(encodeSubscribe(l.lastOffset))
}

// awaitsReplyAcknowledgement reports whether a sample in flight on the current connection may acknowledge a reply.
func (l *Link) awaitsReplyAcknowledgement() bool {
	return l.state() == ready && l.commands.hasSentNonIdempotent()
}

func (l *Link) handleClosed(queue *writequeue.Queue) {
	if l.next != nil && l.next.queue == queue {
		l.next = nil
	}
	if l.isCurrent(queue) {
		l.current = nil
		l.switchToNext()
	}
}

// handleNotification processes a notification and passes it to the handler. It drops duplicates and notifications read from
// an earlier connection.
func (l *Link) handleNotification(queue *writequeue.Queue, notification Notification) {
	if !l.isCurrent(queue) {
		return
	}
	l.current.recordReceived(l.loop.Now())
	if offset, numbered := offsetOf(notification); numbered && !l.advanceOffset(offset) {
		return
	}
	switch received := notification.(type) {
	case Handshake:
		if !l.handleHandshake(received.Age) {
			return
		}
	case rawSample:
		l.handleSample(received.sequence)
		notification = GaugeSample{Load: newLoad(l.gauges, received.values)}
	case RunOutcome:
		l.DiscardCommands(received.RequestID)
	case CallRequest:
		l.DiscardCommands(received.RequestID)
	default: // does not affect the link
	}
	l.handler.OnNotification(notification)
}

// advanceOffset records the offset of a notification. It returns false if the notification is a duplicate.
func (l *Link) advanceOffset(offset int64) bool {
	if offset <= l.lastOffset {
		return false
	}
	l.current.recordOffset(offset, l.lastOffset)
	l.lastOffset = offset
	return true
}

// handleHandshake sends the sample whose answer makes the connection ready. If the agent was restarted since the last
// handshake, it instead aborts the connection and returns false.
func (l *Link) handleHandshake(age time.Duration) (sameAgent bool) {
	if l.incarnation.isKnown() && !l.incarnation.matches(age) {
		l.handleRestart(age)
		return false
	}
	if !l.incarnation.isKnown() {
		l.incarnation = newIncarnation(age)
	}
	// The answer to this sample arrives after all missed notifications. Only then is it known which unacknowledged
	// commands are still relevant.
	l.sendSample()
	return true
}

// handleRestart aborts the connection to an agent that was restarted. That agent knows no earlier run and numbers its
// notifications from 1 again, so the next connection subscribes from the first one.
func (l *Link) handleRestart(age time.Duration) {
	l.incarnation = newIncarnation(age)
	l.lastOffset = 0
	l.log.WarnFields("agent restarted", "agent restarted, runs in flight lost", nil, logrus.Fields{
		"age_ms": age.Milliseconds(),
	})
	l.abortConnection()
	l.handler.OnLost()
}

// handleSample processes the answer to a sample.
func (l *Link) handleSample(sequence int64) {
	if sequence == unknownSample {
		return // answers no sample of this Link
	}
	l.current.lastAnswered = max(l.current.lastAnswered, sequence)
	if l.current.state != ready {
		l.becomeReady()
		return
	}
	l.commands.acknowledge(sequence)
	l.sendReplies()
	l.switchToNext()
}

// becomeReady lets the current connection accept commands. It sends the unacknowledged commands, except for the replies that
// the agent may have read before the disconnection; these it passes to OnReplyUnacknowledged. If notifications were lost, it
// first calls OnLost.
func (l *Link) becomeReady() {
	l.current.state = ready
	if l.current.replay == replayGap {
		l.log.Warn("agent gap", "agent notifications lost, runs in flight abandoned", nil)
		l.handler.OnLost()
	}
	commands := l.commands.countSent()
	replies := l.commands.removeSentNonIdempotent()
	l.reportUnacknowledged(commands, len(replies))
	if lines := l.commands.takeAll(); len(lines) > 0 {
		l.current.queue.Send(lines) // as one message: the write queue may not have room for all of them
		l.sendSample()
	}
	for _, requestID := range replies {
		l.handler.OnReplyUnacknowledged(requestID)
	}
}

// reportUnacknowledged counts and logs the commands that were sent on an earlier connection and that the agent is not known
// to have read, after all notifications published until then have arrived. Field last_offset is the offset of the last of
// these. replies of the commands are replies to calls, which are not sent again; the others are.
func (l *Link) reportUnacknowledged(commands, replies int) {
	if commands == 0 {
		return
	}
	l.repliesUnacknowledged += uint64(replies)
	l.log.WarnFields("agent resend", "commands to the agent unacknowledged at a disconnection", nil, logrus.Fields{
		"commands":    commands,
		"replies":     replies,
		"last_offset": l.lastOffset,
	})
}
