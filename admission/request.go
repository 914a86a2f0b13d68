package admission

import (
	"slices"
	"time"
)

// requestState is the state of a request. The order of the values matters, since states are compared: up to
// following, a request can still be rejected, and from running to calling it holds the memory of a run.
//
// An attempt that retries a known attempt, its leader, does not run. It is a follower: it waits for the
// leader to start (following) and then for the result of the leader's run (awaitingResult). If the leader
// ends without a run, the first of its followers takes its place.
type requestState uint8

const (
	received       requestState = iota // read, not decided on yet
	queued                             // waits to run
	following                          // waits for its leader to start or end
	awaitingResult                     // waits for the result of its leader's run
	running                            // running at the agent, not in a call
	awaitingCall                       // waits for its call to be made
	calling                            // its call is in flight
	released                           // ended, and removed from all tables
)

func (s requestState) String() string {
	return [...]string{"received", "queued", "following", "awaiting result", "running", "awaiting call",
		"calling", "released"}[s]
}

// request is what the controller knows about one attempt.
type request struct {
	id           RequestID
	class        int // index into Settings.Classes
	tenant       int // index into tenantQuotas.states
	state        requestState
	fleetRank    FleetRank
	retry        bool           // marked as a retry
	answered     bool           // answered or cancelled: needs no answer any more
	ran          bool           // was started
	remembered   bool           // was added to the keyTable; the entry may have expired
	memoryKB     float64        // memory while queued, in kB
	work         float64        // in seconds of a standard core
	retryJitter  time.Duration  // added to the RetryAfter of a rejection
	callTime     time.Duration  // total time spent waiting for calls and in calls
	callAttempts int            // number of calls made
	leader       *request       // the attempt that this one follows; set while following
	followers    []*request     // attempts that follow this one until it runs; may contain released ones
	purge        purgeThreshold // of followers

	firstAttemptAt time.Duration // when the client sent the first attempt; arrivedAt if unknown
	arrivedAt      time.Duration // when the request reached the machine
	callStateSince time.Duration // since when the request has been awaitingCall or calling
	objective      time.Duration // latest time of an answer that has the full value
	deadline       time.Duration // when the client stops waiting

	// usefulUntil is the latest time at which an answer has any value: the deadline if the class has a
	// LateValueRatio above 0, else the objective.
	usefulUntil time.Duration
}

// newRequest returns a request that was read at now. The latency objective counts from the first attempt. The
// time since then is rarely known, so retryObjectiveRatio approximates what is left for attempts marked as
// retries.
func newRequest(now time.Duration, id RequestID, arrival *Arrival, class *Class) *request {
	request := &request{
		id:          id,
		class:       arrival.Class,
		tenant:      arrival.Tenant,
		memoryKB:    max(arrival.MemoryKB, 0),
		retry:       arrival.Retry,
		fleetRank:   arrival.FleetRank,
		retryJitter: arrival.RetryJitter,
	}
	request.arrivedAt = now - max(arrival.ReadDelay, 0)
	request.firstAttemptAt = request.arrivedAt - arrival.SinceFirstAttempt
	request.deadline = request.arrivedAt + class.Deadline
	if arrival.Deadline > 0 {
		request.deadline = arrival.Deadline
	}
	objective := class.LatencyObjective
	if request.retry {
		objective = scale(objective, retryObjectiveRatio)
	}
	request.objective = min(request.firstAttemptAt+objective, request.deadline)
	request.usefulUntil = request.objective
	if class.LateValueRatio > 0 {
		request.usefulUntil = request.deadline
	}
	return request
}

// follow makes r a follower of leader.
func (r *request) follow(leader *request) {
	r.state = following
	r.leader = leader
	leader.purgeFollowers()
	leader.followers = append(leader.followers, r)
}

// purgeFollowers drops the followers that have ended, if there may be many.
func (r *request) purgeFollowers() {
	if !r.purge.reached(len(r.followers)) {
		return
	}
	r.followers = slices.DeleteFunc(r.followers, isReleased)
	r.purge.purged(len(r.followers))
}

func isReleased(r *request) bool { return r.state == released }
