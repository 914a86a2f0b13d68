package admission

import "time"

// requestState is the state of a request. The order counts: from running on it has taken memory to run.
//
// An attempt that retries one that is known here, its leader, does not run. As a follower it waits for the
// leader to start (following), and then for the result of the leader's run (joined). If the leader ends
// without a run, the first of its followers takes its place.
type requestState uint8

const (
	received     requestState = iota // read, and not yet decided on
	queued                           // waits to run
	following                        // waits for its leader to start or end
	joined                           // waits for the result of its leader's run
	running                          // executing at the agent
	awaitingCall                     // waits for a call to be made
	calling                          // waits for a call to end
	released                         // has ended; it is in no table any more
)

func (s requestState) String() string {
	return [...]string{"received", "queued", "following", "joined", "running", "awaiting call", "calling",
		"released"}[s]
}

// request is what the controller knows of one attempt.
type request struct {
	id           RequestID
	class        int // index into Settings.Classes
	tenant       int // index into the states of tenantQuotas
	state        requestState
	fleetRank    FleetRank
	retry        bool // marked as a retry
	answered     bool // no answer is owed any more
	ran          bool // it was started
	remembered   bool // it has an entry in the keyTable
	memoryKB     float64
	work         float64       // seconds of a standard core
	retryJitter  time.Duration // of advice to stay away
	callTime     time.Duration // spent waiting for calls and in them
	callAttempts int
	leader       *request   // the attempt that this one follows; set while following
	followers    []*request // attempts that follow this one until it runs

	firstAttemptAt time.Duration // when its client sent the first attempt, as far as known
	arrivedAt      time.Duration
	callNeededAt   time.Duration // since then it waits for its call, or is in it
	objective      time.Duration // an answer by then has its full value
	deadline       time.Duration // its client gives up then

	// usefulUntil is the latest time at which an answer has value: the deadline if LateValueRatio > 0, else
	// the objective.
	usefulUntil time.Duration
}

// newRequest returns a request that was read at now, with the times by which it is useful. The latency
// objective counts from its first attempt; how long ago that was is seldom known, and retryObjectiveRatio
// stands for it.
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
	request.arrivedAt = now - max(arrival.Waited, 0)
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

// follow makes a request a follower of leader.
func (r *request) follow(leader *request) {
	r.state = following
	r.leader = leader
	leader.followers = append(leader.followers, r)
}
