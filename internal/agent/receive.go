package agent

import (
	"fmt"
	"net"
	"time"

	"falldeal/internal/writequeue"

	"github.com/sirupsen/logrus"
)

// connectionHandler implements reconnect.Handler: it hands what happens on connections to the loop.
type connectionHandler struct{ link *Link }

// Opened implements reconnect.Handler.
func (h connectionHandler) Opened(address string, queue *writequeue.Queue) {
	h.link.loop.Post(func() { h.link.handleOpened(address, queue) })
}

// Read implements reconnect.Handler. A line that is no notification ends the connection.
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

// The handle methods run on the loop.

// handleOpened makes a new connection the current one, unless the address has been replaced meanwhile.
func (l *Link) handleOpened(address string, queue *writequeue.Queue) {
	if address != l.connections.Address() {
		queue.Close()
		return
	}
	if l.current != nil {
		l.current.queue.Close() // after what it has still to write
	}
	l.connectionsOpened++
	l.current = &connection{queue: queue, state: synchronizing}
	l.current.noteReceived(l.loop.Now())
	queue.Send(encodeSubscribe(l.lastOffset))
}

func (l *Link) handleClosed(queue *writequeue.Queue) {
	if l.isCurrent(queue) {
		l.current = nil
	}
}

// handleNotification hands a notification to the handler. One that was read on an earlier connection is dropped.
func (l *Link) handleNotification(queue *writequeue.Queue, notification Notification) {
	if !l.isCurrent(queue) {
		return
	}
	l.current.noteReceived(l.loop.Now())
	if offset, numbered := offsetOf(notification); numbered && !l.advanceOffset(offset) {
		return
	}
	switch received := notification.(type) {
	case Handshake:
		if !l.handleHandshake(received.Age) {
			return
		}
	case sampleAnswer:
		l.handleSample(received.sequence)
		notification = GaugeSample{Load: newLoad(l.gauges, received.values)}
	case RunOutcome:
		l.DiscardCommands(received.RequestID)
	case CallRequest:
		l.DiscardCommands(received.RequestID)
	default: // says nothing about the link
	}
	l.handler.OnNotification(notification)
}

// advanceOffset notes the offset of a notification, and reports whether it is a new one.
func (l *Link) advanceOffset(offset int64) bool {
	if offset <= l.lastOffset {
		return false
	}
	l.current.noteOffset(offset, l.lastOffset)
	l.lastOffset = offset
	return true
}

// handleHandshake begins to synchronize, and reports whether the agent is the one that was connected before.
func (l *Link) handleHandshake(age time.Duration) (sameAgent bool) {
	if l.incarnation.isKnown() && !l.incarnation.matches(age) {
		l.handleRestart(age)
		return false
	}
	if !l.incarnation.isKnown() {
		l.incarnation = newIncarnation(age)
	}
	// All notifications that were missed come before the answer to this sample. Only then is it known which of the
	// unacknowledged commands still make sense.
	l.sendSample()
	return true
}

// handleRestart aborts the connection to an agent that was restarted: it knows of no run and numbers its notifications
// anew, so the next connection asks for them from the first.
func (l *Link) handleRestart(age time.Duration) {
	l.incarnation = newIncarnation(age)
	l.lastOffset = 0
	l.log.WarnFields("agent restarted", "agent restarted, runs in flight lost", nil, logrus.Fields{
		"age_ms": age.Milliseconds(),
	})
	l.abortConnection()
	l.handler.OnLost()
}

// handleSample deals with the answer to a sample.
func (l *Link) handleSample(sequence int64) {
	switch {
	case sequence == unknownSample:
	case l.current.state == ready:
		l.acknowledge(sequence)
	default:
		l.becomeReady()
	}
}

// acknowledge drops the commands sent before a sample that was answered: the agent reads in order.
func (l *Link) acknowledge(sequence int64) {
	l.commands.acknowledge(sequence)
	if l.commands.hasNonIdempotent() {
		l.sendSample() // it was sent after the sample
	}
}

// becomeReady has the current connection take commands, beginning with those that the last one may have lost.
func (l *Link) becomeReady() {
	l.current.state = ready
	if l.current.replay == replayGap {
		l.log.Warn("agent gap", "agent notifications lost, runs in flight abandoned", nil)
		l.handler.OnLost()
	}
	if lines := l.commands.lines(); len(lines) > 0 {
		l.current.queue.Send(lines) // in one message: the write queue may have no place for so many
	}
}
