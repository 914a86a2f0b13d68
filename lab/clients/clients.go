// Package clients generates the load of front ends on a fleet. It is an open loop: requests arrive at random times,
// drawn from a seed, whether or not earlier ones have been answered. Front ends use server lists that may be out of
// date, and retry by a configurable policy.
//
// Unlike real front ends, these do not check the health of servers, do not use the load that servers report, and do
// not close idle connections.
package clients

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"falldeal/lab/history"
)

// Policy determines how a front end chooses servers and retries.
type Policy struct {
	RouteByKey      bool // choose the server by a hash of the request's key; otherwise round robin
	MaxAttempts     int  // per request; 0 = unlimited
	HonorRetryAfter bool // avoid servers for the time that they ask for, and do not retry a rejection that forbids it
}

// Workload describes the load of a number of front ends.
type Workload struct {
	FrontEnds         int
	RequestsPerSecond float64 // of all front ends together
	// RequestsPerConnection is the number of requests after which a front end opens a new connection; 0: unlimited.
	RequestsPerConnection uint32
	Classes               []Class
	Policies              []Policy // assigned to front ends round robin
	KeyCount              int      // number of distinct keys that requests are routed by
	Seed                  uint64
	// ReadRequest makes a server spend the work of reading the request of an attempt. The attempt waits until the
	// returned channel is closed; it does not wait for a nil channel. If ReadRequest is nil, reading costs nothing.
	ReadRequest func(server string) <-chan struct{}
	// AttemptCompleted is called when an attempt whose request was sent to a server has been answered, lost or
	// abandoned. It may be nil.
	AttemptCompleted func(server, attemptID string)
}

// Server is a server that front ends may send requests to.
type Server struct{ Name, Addr string }

// ServerLister returns the registered servers as a front end sees them now. It must be safe for concurrent use.
type ServerLister func() []Server

// attemptIDs is the ID of the last attempt of all front ends. Run sets it to the current time, so that two runs
// against one fleet do not use the same IDs.
var attemptIDs atomic.Uint64

// frontEndSeedOffset selects random sequences that differ from those of other packages with the same seed.
const frontEndSeedOffset = 100

// Run sends requests until ctx ends and returns when those in flight have ended. It records all events in log.
func Run(ctx context.Context, workload Workload, servers ServerLister, log *history.Log) {
	attemptIDs.Store(uint64(time.Now().UnixNano()))
	var frontEnds sync.WaitGroup
	for i := range workload.FrontEnds {
		sender := &frontEnd{
			number:       i,
			workload:     &workload,
			policy:       workload.Policies[i%len(workload.Policies)],
			servers:      servers,
			log:          log,
			conns:        map[Server]*serverConn{},
			rand:         rand.New(rand.NewPCG(workload.Seed, uint64(i)+frontEndSeedOffset)),
			backoffUntil: map[string]time.Duration{},
		}
		frontEnds.Go(func() { sender.generateRequests(ctx) })
	}
	frontEnds.Wait()
}
