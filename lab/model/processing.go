package model

import (
	"time"

	"falldeal/admission"
	"falldeal/lab/history"
)

// requestMemoryKB is the memory that a request occupies before it runs, in KB.
const requestMemoryKB = 24

// receive accepts an attempt of a request. The controller decides on it once the cores have read it. The response is passed
// to answer.
func (s *server) receive(request *request, deadline time.Duration, answer func(response)) {
	s.lastAttempt++
	attempt := &attempt{
		id: s.lastAttempt, request: request, arrivedAt: s.sim.now, deadline: deadline, answer: answer,
	}
	s.attempts[attempt.id] = attempt
	s.cores.enqueueRead(attempt)
	s.collectCompleted()
	s.cores.startReads()
	s.cores.scheduleCompletion()
}

// collectCompleted advances the cores to the present. It submits attempts that were read, and finishes those that have run.
func (s *server) collectCompleted() {
	for _, name := range s.cores.Advance(s.sim.now) {
		attempt := s.cores.take(name)
		if attempt.state != attemptReading {
			s.finish(attempt, admission.OutcomeOK)
			continue
		}
		s.cores.readCompleted()
		s.submit(attempt)
	}
}

// submit passes an attempt that was read to the controller. If the deadline of the attempt has passed, it fails it instead.
func (s *server) submit(attempt *attempt) {
	attempt.state = attemptQueued
	if s.sim.now >= attempt.deadline {
		delete(s.attempts, attempt.id)
		attempt.respond(response{outcome: history.OutcomeFailed})
		return
	}
	request := attempt.request
	arrival := admission.Arrival{
		Class: request.classIndex, MemoryKB: requestMemoryKB, CostHint: request.work,
		Deadline: attempt.deadline, ReadDelay: s.sim.now - attempt.arrivedAt,
	}
	if s.shedding != nil {
		s.shedding.classify(s.sim.now, attempt, &arrival)
	}
	s.enqueue(admission.RequestArrived(attempt.id, arrival))
}

// admit starts the run of an attempt, which begins with the call to the store if its class needs one.
func (s *server) admit(attempt *attempt) {
	attempt.admittedAt = s.sim.now
	if !s.sim.settings.Classes[attempt.request.classIndex].CallsDependency {
		s.run(attempt)
		return
	}
	attempt.state = attemptWaitingForCall
	s.enqueue(admission.CallNeeded(attempt.id))
}

// run starts the work of an attempt on the cores.
func (s *server) run(attempt *attempt) {
	attempt.state = attemptRunning
	s.cores.run(attempt)
}

// finish ends the run of an attempt with an outcome, and answers it.
func (s *server) finish(attempt *attempt, outcome admission.Outcome) {
	delete(s.attempts, attempt.id)
	attempt.abandonCall()
	s.enqueue(admission.RunCompleted(attempt.id, admission.Completion{
		Outcome: outcome, Duration: s.sim.now - attempt.admittedAt,
	}))
	if outcome == admission.OutcomeOK {
		attempt.respond(response{outcome: history.OutcomeServed, degraded: attempt.degraded})
	} else {
		attempt.respond(response{outcome: history.OutcomeFailed})
	}
}

// callEnded handles the end of an attempt's call. After a success the run continues on the cores; otherwise the controller
// decides what happens to the attempt.
func (s *server) callEnded(attempt *attempt, outcome admission.Outcome) {
	if !s.up || s.attempts[attempt.id] != attempt {
		return
	}
	attempt.call = nil
	succeeded := outcome == admission.OutcomeOK
	if s.probes != nil {
		s.probes.RecordCall(succeeded)
	}
	if succeeded {
		s.collectCompleted()
		s.run(attempt)
		s.cores.scheduleCompletion()
	}
	s.enqueue(admission.CallCompleted(attempt.id, admission.Completion{
		Outcome: outcome, Duration: s.sim.now - attempt.calledAt,
	}))
}
