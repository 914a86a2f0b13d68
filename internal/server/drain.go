package server

import (
	"time"

	"falldeal/admission"
)

// Drain: after SIGTERM, everything that was read is answered, and the process ends in time. In order:
//
//   - At the signal, front ends are notified on each connection. Health checks fail, and the announcements say that no
//     requests are accepted. If a successor takes over, health checks are answered as before, and the announcements stop
//     instead. New connections are still accepted, and requests run.
//   - At closeListenersAt, the listeners close: after the grace period, or at once if a successor takes over. The controller
//     runs no request that arrives on an open connection after the grace period.
//   - The loop ends when all connections have ended, and at stopAt in any case. Requests without an answer are then
//     answered.
//   - The process waits until all answers are written and all connections closed, for FinalWriteTimeout at most. If they are
//     not, it ends there. If they are, it waits for the program's extension, again for FinalWriteTimeout at most (package
//     process).
//   - shutdownMargin after stopAt, the platform kills the process.

const (
	// shutdownMargin is the time between the end of the loop and the moment at which the process is killed. The controller
	// gives the last answers slightly before the end of the loop, so that they are being sent by then.
	shutdownMargin = 120 * time.Millisecond
	// FinalWriteTimeout is how long the process waits, after the end of the loop, for the last answers to be written. If all
	// were written in time, the process waits as long once more for its extension.
	FinalWriteTimeout = 90 * time.Millisecond
	// listenerCloseMargin is the minimum time between the close of the listeners and the end of the loop, so that requests
	// that arrive at the last moment are read and answered. Front ends are promised that a message may take 50 ms between
	// machines.
	listenerCloseMargin = 100 * time.Millisecond
)

// drainPhase is the phase of a drain.
type drainPhase uint8

const (
	drainNotStarted      drainPhase = iota
	drainAccepting                  // connections are still accepted, and their requests can be run
	drainListenersClosed            // the kernel refuses connections, which sends front ends elsewhere at once
)

func (p drainPhase) String() string {
	switch p {
	case drainNotStarted:
		return "not started"
	case drainAccepting:
		return "accepting"
	case drainListenersClosed:
		return "listeners closed"
	}
	return unknownName
}

// drainState is the drain of this process. The loop owns it.
type drainState struct {
	phase            drainPhase
	replaced         bool          // a successor takes over
	requestedAt      time.Duration // when SIGTERM was received
	closeListenersAt time.Duration // when the listeners close; at the end of the grace period or before it
	stopAt           time.Duration // when the loop ends at the latest
}

// started reports whether the process has received SIGTERM.
func (d *drainState) started() bool { return d.phase != drainNotStarted }

// newDrain returns a drain that starts now. The listeners close after grace, and the process is killed after stopTimeout.
func newDrain(now, stopTimeout, grace time.Duration, replaced bool) drainState {
	stopAt := now + max(stopTimeout-shutdownMargin, 0)
	return drainState{
		phase:            drainAccepting,
		replaced:         replaced,
		requestedAt:      now,
		closeListenersAt: max(min(now+grace, stopAt-listenerCloseMargin), now),
		stopAt:           stopAt,
	}
}

// Drain makes the process end when its work is done, or its time is up. If a successor has joined, it takes over: front ends
// are not sent to other image servers, and this process only waits for its connections and its runs with idempotency keys
// to end. Drain may be called repeatedly and from any goroutine.
func (s *Server) Drain() { s.post(s.startDrain) }

func (s *Server) startDrain() {
	if s.drain.started() {
		return
	}
	replaced := s.handover.authority.SuccessorAlive()
	s.log.WithField("replaced", replaced).Info("drain started")
	if replaced {
		s.announcer.Stop()
		s.drain = newDrain(s.clock.now, s.config.ReplacedStopTimeout, 0, true)
	} else {
		s.announcer.SetAccepting(false)
		s.drain = newDrain(s.clock.now, s.config.StopTimeout, s.config.Settings.DrainGrace, false)
	}
	s.enqueueDrainEvent()
	for _, state := range s.connections.states {
		s.notifyClosing(state)
	}
	s.publishStatus()
	s.deadlines.Add(s.drain.closeListenersAt, s.closeListeners)
	s.deadlines.Add(s.drain.stopAt, func() {}) // wakes the loop, which checks whether it has finished
}

// enqueueDrainEvent notifies the controller of the drain, which may have started before there was a controller.
func (s *Server) enqueueDrainEvent() {
	s.admission.enqueue(admission.DrainStarted(admission.DrainSignal{
		StopAt:   s.drain.stopAt,
		Age:      s.clock.now - s.drain.requestedAt,
		Replaced: s.drain.replaced,
	}))
}

// closeListeners closes the listeners, so that new connections are refused.
func (s *Server) closeListeners() {
	s.drain.phase = drainListenersClosed
	s.listeners.open() // so that serveFront also ends for fronts that do not accept connections yet
	for _, front := range s.listeners.fronts {
		if err := front.Close(); err != nil {
			s.warnings.Warn("listener", "closing a front end listener failed", err)
		}
	}
}

// finished reports whether the loop must end.
func (s *Server) finished() bool {
	if !s.drain.started() {
		return false
	}
	return s.drained() || s.clock.now >= s.drain.stopAt
}

// drained reports whether all front ends have gone. A replaced process also waits until its successor knows its keys, and for
// the results of its runs with idempotency keys, which answer retries at the successor.
func (s *Server) drained() bool {
	if s.drain.phase != drainListenersClosed || s.listeners.serving != 0 || !s.connections.empty() {
		return false
	}
	return !s.drain.replaced || !s.idempotency.hasLocalRun() && s.handover.synchronized()
}

// shutDown ends the loop. Requests that were read by then are answered, and all answers are still written.
func (s *Server) shutDown() {
	s.handlePeers()
	// Readers that are blocked on a full inbox refill it while it is emptied. The limit ensures that this loop ends.
	for n := 2 * inboxCapacity; n > 0 && s.inbox.waiting() > 0; n-- {
		s.handlePending(1)
	}
	s.step()
	for _, request := range s.requests.inOrder() {
		if s.requests.contains(request) && !request.answered {
			request.trace.reason = reasonShutdown
			s.answer(request, Answer{Kind: s.finalAnswer(request)})
		}
	}
	s.finishKeys()
	s.logCounters()
	for conn := range s.connections.states {
		conn.Close()
	}
}

// finalAnswer returns the kind of answer for a request that has none when the loop ends: Rejected if neither it nor another
// attempt with its key can have been run, and otherwise Failed.
func (s *Server) finalAnswer(request *activeRequest) AnswerKind {
	if request.state != requestQueued {
		return Failed
	}
	if entry := s.idempotency.lookup(request); entry != nil && entry.hasRun() {
		return Failed
	}
	return Rejected
}
