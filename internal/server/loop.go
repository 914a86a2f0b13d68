package server

import (
	"context"
	"time"

	"falldeal/admission"
)

// maxEventsPerTurn is the maximum number of events handled in one turn, so that a burst delays neither deadlines nor
// decisions. At 10 µs per event, they take little of the 20 ms that the controller leaves between answer and deadline.
const maxEventsPerTurn = 128

// admissionState is the admission controller with its input and output. A step is one call of Controller.Step. The loop owns
// the state.
type admissionState struct {
	controller *admission.Controller // nil until the agent is up
	events     []admission.Event     // input of the next step
	actions    []admission.Action    // output of the last step, reused for its capacity
}

// started reports whether there is a controller, which is created when the agent is up.
func (a *admissionState) started() bool { return a.controller != nil }

// pending reports whether there are events for the next step.
func (a *admissionState) pending() bool { return len(a.events) > 0 }

// enqueue adds an event for the next step. Events are dropped while there is no controller.
func (a *admissionState) enqueue(e admission.Event) {
	if a.started() {
		a.events = append(a.events, e)
	}
}

// step lets the controller decide on the events. The returned actions are valid until the next step.
func (a *admissionState) step(now time.Duration) []admission.Action {
	if !a.started() || !a.pending() {
		return nil
	}
	a.actions = a.controller.Step(now, a.events, a.actions[:0])
	a.events = a.events[:0]
	return a.actions
}

// loop runs turns until a drain is complete or ctx ends.
func (s *Server) loop(ctx context.Context) {
	defer close(s.inbox.closed)
	defer s.shutDown()
	s.startPeriodicWork()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !s.finished() {
		s.resetTimer(timer)
		select {
		case <-ctx.Done():
			return
		case e := <-s.inbox.peers:
			s.clock.advance()
			e.handle(s)
		case e := <-s.inbox.events:
			s.clock.advance()
			s.handlePeers()
			e.handle(s)
		case <-timer.C:
		}
		s.turn()
	}
}

// startPeriodicWork starts the work that schedules itself again by deadlines.
func (s *Server) startPeriodicWork() {
	s.checkAgentUntilUp()
	s.publishPeriodically()
	s.tickQuota()
	s.tickShedding()
	s.tickProbes()
	if s.processes.locks != nil {
		s.watchProcesses()
	}
}

// resetTimer sets the timer to the next deadline, or to fire at once if actions of the last turn have caused events.
func (s *Server) resetTimer(timer *time.Timer) {
	if s.admission.pending() {
		timer.Reset(0)
	} else if at, ok := s.deadlines.Next(); ok {
		timer.Reset(max(at-s.clock.advance(), 0))
	}
}

// turn handles events from the inbox, those of other processes first, runs expired deadlines and lets the controller take one step. Events are handled
// before deadlines: after a pause of the process, messages that arrived during the pause still count as in time.
func (s *Server) turn() {
	s.clock.advance()
	s.handlePeers()
	s.handlePending(maxEventsPerTurn)
	s.clock.advance()
	s.runExpired()
	s.stats.LoopIterations++
	s.step()
	s.advanceClosing()
	s.scheduleIdleCheck()
}

// runExpired runs the callbacks of all deadlines that have passed.
func (s *Server) runExpired() { s.deadlines.Sweep(s.clock.now) }

// step lets the controller decide on the events, and carries out its actions.
func (s *Server) step() {
	for _, action := range s.admission.step(s.clock.now) {
		s.dispatch(action)
	}
}
