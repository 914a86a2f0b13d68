package server

import (
	"maps"
	"slices"
	"time"

	"falldeal/admission"
)

// Attempt is one attempt of a request, as a front protocol has read it.
type Attempt struct {
	ID             string        // hex digits only: it is passed on to other systems
	IdempotencyKey string        // the same for all attempts of one request; "" = none
	Subject        string        // what a read is about
	Class          string        // name of the request class
	Tenant         string        // "" = none
	Retry          bool          // marked as a retry by its sender
	ArrivedAt      time.Duration // when it reached the machine, on the Unix clock
	Timeout        time.Duration // how long its client waits from then on; 0 = not given
	Client         int           // number of the client
	CostHint       time.Duration // expected work; 0 = not given
	MemoryKB       float64       // expected memory
	Rank           float64       // rank among requests of equal priority
	Body           []byte
}

// AnswerKind is what an Answer says.
type AnswerKind uint8

// The kinds of Answer.
const (
	Served    AnswerKind = iota // with Body
	Rejected                    // the request never ran
	Failed                      // the request may have run
	Invalid                     // the request was wrong, as Reason says; it never ran
	Healthy                     // to a health check
	Unhealthy                   // to a health check
)

// String returns the kind in plain words.
func (k AnswerKind) String() string {
	switch k {
	case Served:
		return "served"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	case Invalid:
		return "invalid"
	case Healthy:
		return "healthy"
	case Unhealthy:
		return "unhealthy"
	}
	return unknownName
}

// Answer is the one answer to a call.
type Answer struct {
	Kind             AnswerKind
	Body             []byte
	RetryAfter       time.Duration // Rejected: how long to stay away; 0 = no advice
	NoRetryElsewhere bool          // Rejected: no other server should be tried
	Reason           string        // Invalid
}

// requestState is how far the server has got with a request.
type requestState uint8

const (
	requestQueued   requestState = iota // the controller has yet to decide on it
	requestClaiming                     // waits until the predecessor has answered the claim on its key
	requestRunning                      // the agent was sent the command to run it
)

func (s requestState) String() string {
	switch s {
	case requestQueued:
		return "queued"
	case requestClaiming:
		return "claiming"
	case requestRunning:
		return "running"
	}
	return unknownName
}

// activeRequest is one attempt, from its arrival until nothing more can happen to it. The loop owns it.
type activeRequest struct {
	id                admission.RequestID
	attempt           Attempt
	class             int // index among the classes of the configuration
	tenant            int // index among the tenants of the configuration
	connection        Connection
	callNumber        uint32        // its number on that connection
	idempotencyWindow time.Duration // in which its key must not run twice

	state     requestState
	answered  bool          // it has its answer, or nobody waits for one; its run may go on
	startedAt time.Duration // of its run, or of its wait for the run of another attempt

	callBody      []byte        // body of the call that its run waits for
	callOffset    int64         // offset of the agent's notification that asked for that call
	callStartedAt time.Duration // of the last call to the store
	trace         requestTrace
}

// running reports whether the agent was sent the command to run the request.
func (r *activeRequest) running() bool { return r.state == requestRunning }

// requestTable holds the active requests. The loop owns it.
type requestTable struct {
	byID        map[admission.RequestID]*activeRequest
	byAttemptID map[string]*activeRequest
	lastID      admission.RequestID
}

func newRequestTable() requestTable {
	return requestTable{byID: map[admission.RequestID]*activeRequest{}, byAttemptID: map[string]*activeRequest{}}
}

// nextID returns an ID that no request of this process has had.
func (t *requestTable) nextID() admission.RequestID {
	t.lastID++
	return t.lastID
}

func (t *requestTable) add(request *activeRequest) {
	t.byID[request.id] = request
	t.byAttemptID[request.attempt.ID] = request
}

func (t *requestTable) remove(request *activeRequest) {
	delete(t.byID, request.id)
	delete(t.byAttemptID, request.attempt.ID)
}

// contains reports whether a request is still active.
func (t *requestTable) contains(request *activeRequest) bool { return t.byID[request.id] == request }

// inOrder returns the active requests in order of arrival.
func (t *requestTable) inOrder() []*activeRequest {
	requests := make([]*activeRequest, 0, len(t.byID))
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		requests = append(requests, t.byID[id])
	}
	return requests
}

// size returns the number of active requests.
func (t *requestTable) size() int { return len(t.byID) }

// running returns the number of requests that the agent runs.
func (t *requestTable) running() int {
	running := 0
	for _, request := range t.byID {
		if request.running() {
			running++
		}
	}
	return running
}
