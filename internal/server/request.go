package server

import (
	"maps"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/deadline"
)

// Attempt is one attempt of a request, as read by a front.
type Attempt struct {
	ID             string        // hex digits only, because it is passed on to other systems
	IdempotencyKey string        // shared by all attempts of one request; "" = none
	Subject        string        // identifies the object that the request reads; "" = none
	Class          string        // name of the request class
	Tenant         string        // name of the tenant; "" = none
	Retry          bool          // the sender has marked the attempt as a retry
	ArrivedAt      time.Duration // arrival at this machine; Unix time
	Timeout        time.Duration // how long the client waits, from ArrivedAt on; 0 = not given
	Client         int           // number that identifies the client
	CostHint       time.Duration // expected processing time; 0 = not given
	MemoryKB       float64       // expected memory use
	Rank           float64       // from 0 to 1; of requests with equal value per work, the one with the highest Rank is shed last
	Body           []byte
}

// AnswerKind is the kind of an Answer.
type AnswerKind uint8

// The kinds of Answer.
const (
	Served    AnswerKind = iota // the request was run; Body is its result
	Rejected                    // the request was never run
	Failed                      // the request may have been run
	Invalid                     // the request is wrong, as Reason says; it was never run
	Healthy                     // answer to a health check
	Unhealthy                   // answer to a health check
)

// String returns the name of the kind.
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

// Answer is the answer to a request or a health check.
type Answer struct {
	Kind             AnswerKind
	Body             []byte        // Served: the result
	RetryAfter       time.Duration // Rejected: how long the client should wait before a retry; 0 = no advice
	NoRetryElsewhere bool          // Rejected: no other server should be tried
	Reason           string        // Invalid: what is wrong with the request
}

// requestState is the state of an active request.
type requestState uint8

const (
	requestQueued   requestState = iota // waits for the controller's decision, or for the result of another attempt
	requestClaiming                     // waits until its key was granted, or it is known who may run it
	requestRunning                      // was sent to the agent to be run
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
	callNumber        uint32        // identifies the request on its connection
	idempotencyWindow time.Duration // time from its arrival on in which no other attempt with its key may be run

	state     requestState
	answered  bool          // the request has its answer, or no client waits for one; its run may continue
	startedAt time.Duration // start of its run, or of its wait for the run of another attempt

	claimDeadline *deadline.Entry // while it is requestClaiming

	callBody      []byte        // body of the call that its run waits for
	callOffset    int64         // offset of the agent's notification that requested that call
	callStartedAt time.Duration // start of the last call to the store
	trace         requestTrace
}

// running reports whether the request was sent to the agent to be run.
func (r *activeRequest) running() bool { return r.state == requestRunning }

// requestTable holds the active requests. The loop owns it.
type requestTable struct {
	byID        map[admission.RequestID]*activeRequest // all active requests
	byAttemptID map[string]*activeRequest
	lastID      admission.RequestID // ID that was assigned last
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
