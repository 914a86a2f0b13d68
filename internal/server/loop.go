package server

import (
	"context"
	"time"

	"falldeal/admission"
)

// maxEventsPerTurn bounds the events that one turn handles, so that a burst delays neither deadlines nor decisions: at
// 10 µs an event this is a fraction of the 20 ms by which answers are given before their deadline.
const maxEventsPerTurn = 128

// admissionState is the controller with its input and output. The loop owns it.
type admissionState struct {
	controller *admission.Controller // nil until the agent is up
	events     []admission.Event     // for the next step
	actions    []admission.Action    // of the last step; kept for its capacity
}

// started reports whether the agent is up, and with it the controller.
func (a *admissionState) started() bool { return a.controller != nil }

// pending reports whether events wait for the next step.
func (a *admissionState) pending() bool { return len(a.events) > 0 }

// enqueue adds an event for the next step. Before there is a controller, events are dropped.
func (a *admissionState) enqueue(e admission.Event) {
	if a.started() {
		a.events = append(a.events, e)
	}
}

// step lets the controller decide on the events. The actions it returns are valid until the next step.
func (a *admissionState) step(now time.Duration) []admission.Action {
	if !a.started() || !a.pending() {
		return nil
	}
	a.actions = a.controller.Step(now, a.events, a.actions[:0])
	a.events = a.events[:0]
	return a.actions
}

// loop takes turns until a drain is complete or ctx ends.
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
		case e := <-s.inbox.events:
			s.clock.advance()
			e.handle(s)
		case <-timer.C:
		}
		s.turn()
	}
}

// startPeriodicWork begins what repeats itself by deadlines from now on.
func (s *Server) startPeriodicWork() {
	s.checkAgentUntilUp()
	s.publishPeriodically()
	s.tickQuota()
	s.tickShedding()
	s.tickProbes()
}

// resetTimer sets the timer for the next deadline, or for at once where actions of the last turn have caused events.
func (s *Server) resetTimer(timer *time.Timer) {
	if s.admission.pending() {
		timer.Reset(0)
	} else if at, ok := s.deadlines.Next(); ok {
		timer.Reset(max(at-s.clock.advance(), 0))
	}
}

// turn handles events from the inbox, runs what is due and lets the controller take one step. Input is handled
// before deadlines: after a pause of the process, what arrived meanwhile still counts as in time.
func (s *Server) turn() {
	s.clock.advance()
	s.handleWaiting(maxEventsPerTurn)
	s.clock.advance()
	s.runExpired()
	s.stats.Turns++
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
