package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// attemptPhase is the state of an attempt on the simulated server.
type attemptPhase uint8

const (
	attemptWaiting        attemptPhase = iota
	attemptAwaitingResult              // waits for the result of another attempt
	attemptRunning
	attemptAwaitingCall // its run needs a call, and the controller has not allowed it yet
	attemptCalling
	attemptCompleted
)

// attempt is what the random server knows about one attempt.
type attempt struct {
	class        int
	arrivedAt    time.Duration
	deadline     time.Duration
	phase        attemptPhase
	ran          bool
	answered     bool // answered or cancelled
	cancelled    bool
	origin       int     // ID of the first attempt of the request
	callsThatRan int     // calls since the last CallNeeded that may have had an effect
	memoryKB     float64 // memory while queued
}

// isRunning reports whether the attempt is running, including its calls.
func (a *attempt) isRunning() bool {
	return a.phase == attemptRunning || a.phase == attemptAwaitingCall || a.phase == attemptCalling
}

// randomServer generates random events for a controller, including rare ones that the controller must accept,
// and carries out its actions. It checks these invariants:
//
//   - each request is answered once and in time;
//   - no attempt runs twice, and no request with an effect runs or makes its call twice;
//   - no request with an effect is rejected after a run;
//   - no request runs that arrived after the grace period of a drain;
//   - memory and calls in flight stay within their limits.
type randomServer struct {
	t               *testing.T
	settings        Settings
	rng             *rand.Rand
	now             time.Duration
	attempts        map[RequestID]*attempt
	live            []RequestID                 // attempts that have not completed
	rememberedUntil map[RequestID]time.Duration // time until which an attempt is remembered, by its ID
	runs            map[int]int                 // number of runs, by origin
	drainStartedAt  time.Duration               // 0: no drain
	log             []Action                    // all actions so far
	lastID          RequestID
	lastIdempotent  map[int]RequestID // by class: newest request that is idempotent by key and not a retry
	sendsDeadlines  bool              // requests carry the deadlines of their clients
}

// drawRequest draws a new request, or a retry of one that is remembered.
func (s *randomServer) drawRequest() Event {
	s.lastID++
	class := s.rng.IntN(len(s.settings.Classes))
	event := RequestArrived(s.lastID, Arrival{Class: class, Tenant: s.rng.IntN(2), MemoryKB: 5 + 20*s.rng.Float64(),
		CostHint: time.Duration(s.rng.IntN(300)) * ms, Retry: s.rng.IntN(4) == 0, ReadDelay: time.Duration(s.rng.IntN(50)) * ms})
	origin := int(s.lastID)
	if s.settings.Classes[class].Idempotency == IdempotentByKey && s.rng.IntN(2) == 0 {
		if first, ok := s.lastIdempotent[class]; ok && s.rememberedUntil[first] > s.now {
			event.Arrival.RetryOf = first
			origin = s.attempts[first].origin
		}
	}
	if s.settings.Classes[class].Idempotency == IdempotentByKey && event.Arrival.RetryOf == 0 {
		s.lastIdempotent[class] = event.ID
	}
	deadline := s.now - event.Arrival.ReadDelay + s.settings.Classes[class].Deadline
	if s.sendsDeadlines {
		deadline = s.now + time.Duration(s.rng.IntN(3000))*ms
		event.Arrival.Deadline = deadline
	}
	s.attempts[event.ID] = &attempt{class: class, arrivedAt: s.now - event.Arrival.ReadDelay, deadline: max(deadline, s.now),
		origin: origin, memoryKB: event.Arrival.MemoryKB}
	s.live = append(s.live, event.ID)
	return event
}

// drawEvents draws the next events of all live attempts, and new requests.
func (s *randomServer) drawEvents() []Event {
	var events []Event
	live := s.live[:0]
	for _, id := range s.live {
		if s.attempts[id].phase == attemptCompleted {
			continue
		}
		live = append(live, id)
		events = s.progress(events, id, s.attempts[id])
		if s.rng.IntN(50) == 0 && len(events) > 0 {
			events = append(events, events[len(events)-1]) // a duplicate event
		}
	}
	s.live = live
	for range s.rng.IntN(4) {
		events = append(events, s.drawRequest())
	}
	return events
}

// progress draws the next event of one attempt, if any.
func (s *randomServer) progress(events []Event, id RequestID, current *attempt) []Event {
	done := func(outcome Outcome, took time.Duration) []Event {
		current.phase = attemptCompleted
		current.answered = true
		return append(events, RunCompleted(id, Completion{Outcome: outcome, Duration: took}))
	}
	atCall := current.phase == attemptAwaitingCall || current.phase == attemptCalling
	switch roll := s.rng.IntN(40); {
	case current.phase == attemptAwaitingResult && roll < 4:
		return done(Outcome(s.rng.IntN(2)), 5*ms)
	case current.phase == attemptCalling && roll < 6:
		return append(events, s.endCall(id, current))
	case current.phase == attemptRunning && roll < 2 && !current.answered:
		current.phase = attemptAwaitingCall
		current.callsThatRan = 0
		return append(events, CallNeeded(id))
	case current.phase == attemptRunning && roll < 6:
		return done(Outcome(s.rng.IntN(2)), 100*ms)
	case roll == 39 && !current.answered:
		current.cancelled = true
		current.answered = true
		events = append(events, RequestCancelled(id))
		switch {
		case atCall:
			return done(OutcomeCancelled, 0)
		case current.phase != attemptRunning:
			current.phase = attemptCompleted
		}
	case atCall && current.answered:
		return done(OutcomeCancelled, 0)
	}
	return events
}

// endCall draws the outcome of a call.
func (s *randomServer) endCall(id RequestID, current *attempt) Event {
	outcomes := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut,
		OutcomeUnreachable, OutcomeAborted}
	outcome := outcomes[s.rng.IntN(len(outcomes))]
	if !outcome.NeverRan() {
		current.callsThatRan++
	}
	current.phase = attemptAwaitingCall
	if outcome == OutcomeOK {
		current.phase = attemptRunning
	}
	return CallCompleted(id, Completion{Outcome: outcome, Duration: 20 * ms})
}

// carryOut carries out actions and checks that each is allowed.
func (s *randomServer) carryOut(actions []Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case ActionRun:
			s.run(action.ID)
		case ActionReject, ActionFail:
			s.answer(action)
		case ActionCall, ActionSkipCall:
			s.callOrSkip(action)
		case ActionRemember, ActionForget:
			s.rememberOrForget(action)
		case ActionReuse:
			a := s.attempts[action.ID]
			if a.answered || a.ran {
				s.t.Fatalf("ActionReuse for request %d, which has run or was answered", action.ID)
			}
			a.phase = attemptAwaitingResult
		case ActionStop:
			if s.settings.Halt == HaltOff {
				s.t.Fatal("ActionStop although runs cannot be stopped")
			}
		case ActionAdvertise:
			if s.settings.Advert == AdvertOff {
				s.t.Fatal("ActionAdvertise although no value is advertised")
			}
		case ActionHealth, ActionIdleTimeout, ActionWake, ActionLog: // no invariant
		}
	}
}

func (s *randomServer) run(id RequestID) {
	current := s.attempts[id]
	if current.answered || current.ran {
		s.t.Fatalf("request %d runs again or after its answer", id)
	}
	if s.drainStartedAt > 0 && current.arrivedAt > s.drainStartedAt+s.settings.DrainGrace {
		s.t.Fatalf("request %d runs although it arrived after the grace period of a drain", id)
	}
	s.runs[current.origin]++
	keyed := s.settings.Classes[current.class].Idempotency == IdempotentByKey
	if keyed && (s.runs[current.origin] > 1 || s.rememberedUntil[id] <= s.now && s.rememberedUntil[id] == 0) {
		s.t.Fatalf("idempotent request %d: run number %d, remembered until %v, now %v", id, s.runs[current.origin], s.rememberedUntil[id], s.now)
	}
	current.ran = true
	current.phase = attemptRunning
}

func (s *randomServer) answer(action *Action) {
	current := s.attempts[action.ID]
	// The controller may answer a request before it reaches the cancellation in the same batch of events.
	if current.cancelled {
		return
	}
	if current.answered {
		s.t.Fatalf("request %d answered twice", action.ID)
	}
	safe := s.settings.Classes[current.class].Idempotency == Safe
	if action.Kind == ActionReject && !safe && s.runs[current.origin] > 0 {
		s.t.Fatalf("request %d rejected after a run", action.ID)
	}
	if s.now > current.deadline+s.settings.AnswerGrace {
		s.t.Fatalf("request %d answered %v late", action.ID, s.now-current.deadline)
	}
	current.answered = true
	if !current.isRunning() {
		current.phase = attemptCompleted
	}
}

func (s *randomServer) callOrSkip(action *Action) {
	current := s.attempts[action.ID]
	class := &s.settings.Classes[current.class]
	if action.Kind == ActionSkipCall {
		if class.DegradedValueRatio == 0 || current.phase != attemptAwaitingCall {
			s.t.Fatalf("ActionSkipCall for request %d, which waits for no call or may not skip it", action.ID)
		}
		current.phase = attemptRunning
		return
	}
	if current.phase != attemptAwaitingCall || class.Idempotency != Safe && current.callsThatRan > 0 {
		s.t.Fatalf("ActionCall for request %d, which waits for no call or whose call may have had an effect already", action.ID)
	}
	current.phase = attemptCalling
}

func (s *randomServer) rememberOrForget(action *Action) {
	current := s.attempts[action.ID]
	class := &s.settings.Classes[current.class]
	keyed := class.Idempotency == IdempotentByKey
	if action.Kind == ActionForget {
		if current.ran && keyed {
			s.t.Fatalf("request %d forgotten after its run", action.ID)
		}
		delete(s.rememberedUntil, action.ID)
		return
	}
	s.rememberedUntil[action.ID] = s.now + action.Duration
	if keyed && s.rememberedUntil[action.ID] < current.arrivedAt+class.IdempotencyWindow {
		s.t.Fatalf("request %d remembered for less than the IdempotencyWindow of its class", action.ID)
	}
}

// check checks the invariants between batches.
func (s *randomServer) check() {
	callsInFlight := 0
	for _, current := range s.attempts {
		if current.phase == attemptCompleted {
			continue
		}
		if !current.answered && s.now > current.deadline+s.settings.AnswerGrace {
			s.t.Fatalf("a request is not answered: deadline %v, now %v", current.deadline, s.now)
		}
		if current.phase == attemptCalling && !current.answered {
			callsInFlight++
		}
	}
	if memoryKB := s.memoryInUse(); memoryKB > s.settings.MemoryKB {
		s.t.Fatalf("%v kB of %v kB in use", memoryKB, s.settings.MemoryKB)
	}
	if s.settings.MaxCallsInFlight >= 1 && float64(callsInFlight) > s.settings.MaxCallsInFlight {
		s.t.Fatalf("%d calls in flight, with MaxCallsInFlight %v", callsInFlight, s.settings.MaxCallsInFlight)
	}
}

// memoryInUse returns the memory of requests and remembered keys, in kB.
func (s *randomServer) memoryInUse() float64 {
	memoryKB := 0.0
	for _, current := range s.attempts {
		if current.phase == attemptCompleted {
			continue
		}
		if memoryKB += current.memoryKB; current.isRunning() {
			memoryKB += current.memoryKB * (s.settings.RunningMemoryFactor - 1)
		}
	}
	for _, until := range s.rememberedUntil {
		if until > s.now {
			memoryKB += s.settings.KeyMemoryKB
		}
	}
	return memoryKB
}
