package admission

import (
	"slices"
	"time"
)

// nextEvents advances the clock and returns the events of the next batch.
func (s *recordedServer) nextEvents(step int) []Event {
	s.advanceClock()
	var events []Event
	s.live = slices.DeleteFunc(s.live, func(request *recordedRequest) bool { return request.phase == attemptCompleted })
	for _, request := range s.live {
		events = s.progress(events, request)
	}
	for load := s.episode.load; load > 0; load-- {
		if s.rng.Float64() < load {
			events = append(events, s.arrival())
		}
	}
	if s.now >= s.wakeAt {
		events = append(events, TimerFired(s.episode.gauges(s)))
	}
	return s.unusualEvents(events, step)
}

// advanceClock advances the time to the next step: mostly by milliseconds, rarely by nothing, and even more
// rarely by seconds, as if the machine had been suspended.
func (s *recordedServer) advanceClock() {
	switch s.rng.IntN(500) {
	case 0:
		s.now += time.Duration(s.rng.IntN(4000)) * ms
	case 1, 2, 3:
	default:
		s.now += time.Duration(1 + s.rng.Int64N(int64(s.episode.longestStep)))
	}
}

// unusualEvents adds a drain, events by operators, and events that a controller must ignore.
func (s *recordedServer) unusualEvents(events []Event, step int) []Event {
	if step == s.drainStep || step == s.drainStep+20 {
		events = append(events, DrainStarted(DrainSignal{StopAt: s.now + 1500*ms, Replaced: s.rng.IntN(2) == 0,
			Age: time.Duration(s.rng.IntN(30)) * ms}))
	}
	switch s.rng.IntN(400) {
	case 0:
		events = append(events, ServerDeregistered())
	case 1, 2:
		events = append(events, ServerReregistered())
	case 3:
		events = append(events, RunCompleted(s.lastID+7, Completion{Outcome: OutcomeNotStarted}))
	case 4:
		events = append(events, RequestCancelled(s.lastID+7))
	case 5:
		events = append(events, CallNeeded(s.lastID+7))
	case 6:
		events = append(events, CallCompleted(s.lastID+7, Completion{Duration: ms}))
	case 7:
		if len(events) > 0 {
			events = append(events, events[s.rng.IntN(len(events))]) // a duplicate event
		}
	}
	return events
}

// arrival draws a new request, a retry, or a request with an unusual field.
func (s *recordedServer) arrival() Event {
	s.lastID++
	request := &recordedRequest{id: s.lastID, class: s.rng.IntN(len(s.settings.Classes)),
		work: time.Duration(1+s.rng.IntN(200)) * ms}
	event := RequestArrived(request.id, Arrival{Class: request.class, Tenant: s.rng.IntN(4) - s.rng.IntN(40)/39,
		MemoryKB: 0.25 * float64(1+s.rng.IntN(80)), FleetRank: s.episode.fleetRanks[s.rng.IntN(len(s.episode.fleetRanks))]})
	if s.rng.IntN(4) > 0 {
		event.Arrival.CostHint = request.work
	}
	event.Arrival.ReadDelay = time.Duration(s.rng.IntN(10)) * ms
	if s.episode.lateReading {
		event.Arrival.ReadDelay = time.Duration(s.rng.IntN(2500)) * ms
	}
	if s.rng.IntN(3) == 0 {
		event.Arrival.Deadline = s.now + time.Duration(s.rng.IntN(4000))*ms
	}
	if s.rng.Float64() < s.episode.retryRatio {
		s.makeRetry(&event)
	}
	switch s.rng.IntN(300) {
	case 0:
		event.Arrival.Class = -1 + (len(s.settings.Classes)+1)*s.rng.IntN(2) // unknown class
	case 1:
		if len(s.live) > 0 {
			event.ID = s.live[s.rng.IntN(len(s.live))].id // ID that is already known
			return event
		}
	}
	s.live = append(s.live, request)
	return event
}

// makeRetry turns an arrival into a retry, in most cases of an earlier attempt.
func (s *recordedServer) makeRetry(event *Event) {
	event.Arrival.Retry = true
	event.Arrival.RetryJitter = time.Duration(s.rng.IntN(300)) * ms
	if s.rng.IntN(2) == 0 {
		event.Arrival.SinceFirstAttempt = time.Duration(s.rng.IntN(1500)) * ms
	}
	switch s.rng.IntN(4) {
	case 0, 1:
		if len(s.remembered) > 0 {
			event.Arrival.RetryOf = s.remembered[max(0, len(s.remembered)-1-s.rng.IntN(12))]
		}
	case 2:
		if len(s.live) > 0 {
			event.Arrival.RetryOf = s.live[s.rng.IntN(len(s.live))].id
		}
	}
}

// progress appends the events of a request since the last step.
func (s *recordedServer) progress(events []Event, request *recordedRequest) []Event {
	if !request.answered && s.rng.Float64() < s.episode.cancelledRatio {
		request.answered = true
		events = append(events, RequestCancelled(request.id))
		if request.phase == attemptWaiting || request.phase == attemptAwaitingResult {
			request.phase = attemptCompleted
		}
	}
	atCall := request.phase == attemptCalling || request.phase == attemptAwaitingCall
	switch {
	case request.phase == attemptRunning && request.stopped, atCall && request.answered:
		return s.endRun(events, request, OutcomeCancelled)
	case request.endsAt == 0 || s.now < request.endsAt:
	case request.phase == attemptRunning && request.callsAhead > 0:
		request.callsAhead--
		request.phase = attemptAwaitingCall
		request.endsAt = 0
		return append(events, CallNeeded(request.id))
	case request.phase == attemptRunning || request.phase == attemptAwaitingResult:
		outcome := OutcomeOK
		if s.rng.IntN(20) == 0 {
			outcome = []Outcome{OutcomeFailed, OutcomeCancelled}[s.rng.IntN(2)]
		}
		return s.endRun(events, request, outcome)
	case request.phase == attemptCalling:
		return s.endCall(events, request)
	}
	return events
}

func (s *recordedServer) endRun(events []Event, request *recordedRequest, outcome Outcome) []Event {
	request.phase = attemptCompleted
	return append(events, RunCompleted(request.id, Completion{Outcome: outcome, Duration: s.now - request.startedAt}))
}

func (s *recordedServer) endCall(events []Event, request *recordedRequest) []Event {
	outcome := s.episode.callOutcomes[s.rng.IntN(len(s.episode.callOutcomes))]
	request.phase = attemptAwaitingCall
	request.endsAt = 0
	if outcome == OutcomeOK {
		request.phase = attemptRunning
		request.endsAt = s.now + request.work/4
	}
	return append(events, CallCompleted(request.id, Completion{Outcome: outcome, Duration: s.now - request.calledAt}))
}

// carryOut carries out an action.
func (s *recordedServer) carryOut(action *Action) {
	switch action.Kind {
	case ActionWake:
		s.wakeAt = action.At
		return
	case ActionRemember:
		s.remembered = append(s.remembered, action.ID)
		return
	case ActionForget, ActionHealth, ActionAdvertise, ActionIdleTimeout, ActionLog:
		return
	case ActionRun, ActionStop, ActionReject, ActionFail, ActionCall, ActionSkipCall, ActionReuse:
	}
	for _, request := range s.live {
		if request.id == action.ID {
			s.carryOutFor(request, action)
		}
	}
}

// carryOutFor carries out an action for a request.
func (s *recordedServer) carryOutFor(request *recordedRequest, action *Action) {
	switch action.Kind {
	case ActionRun:
		request.phase = attemptRunning
		request.startedAt = s.now
		request.endsAt = s.now + request.work*time.Duration(2+s.rng.IntN(5))/4
		if s.settings.Classes[request.class].CallsDependency {
			request.callsAhead = 1 + s.rng.IntN(6)/5 - s.rng.IntN(4)/3
		}
	case ActionReuse:
		request.phase = attemptAwaitingResult
		request.startedAt = s.now
		request.endsAt = s.now + time.Duration(s.rng.IntN(100))*ms
	case ActionStop:
		request.stopped = true
	case ActionReject, ActionFail:
		request.answered = true
		if request.phase == attemptWaiting || request.phase == attemptAwaitingResult {
			request.phase = attemptCompleted
		}
	case ActionCall:
		request.phase = attemptCalling
		request.calledAt = s.now
		request.endsAt = s.now + min(s.episode.callTime*time.Duration(2+s.rng.IntN(4))/4, action.Timeout)
	case ActionSkipCall:
		request.phase = attemptRunning
		request.endsAt = s.now + request.work/4
	default: // not about a request
	}
}
