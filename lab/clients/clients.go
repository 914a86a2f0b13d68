// Package clients generates the load of front ends on a fleet: requests that arrive at random times, drawn from a
// seed, whether or not earlier ones were answered; registries that lag; and retries by a configurable policy. It
// leaves out health checks, measured load reports, and connections that are closed when idle.
package clients

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"falldeal/lab/history"
)

// Policy is how a front end chooses servers and retries.
type Policy struct {
	RouteByKey      bool // by a hash of the request's key; else round robin
	MaxAttempts     int  // for each request; 0 = no limit
	HonorRetryAfter bool // avoids servers that ask for it, and does not retry a rejection that forbids it
}

// Workload is the load of a number of front ends.
type Workload struct {
	FrontEnds         int
	RequestsPerSecond float64 // of all front ends together
	Classes           []Class
	Policies          []Policy // assigned to front ends round robin
	KeyCount          int      // different keys of requests that are not idempotent by key
	Seed              uint64
	// ReadRequest has a server read the request of an attempt, which takes of its cores. The attempt waits until the
	// channel is closed; a nil channel is not waited for. Nil: reading costs nothing.
	ReadRequest func(server string) <-chan struct{}
	// AttemptCompleted is called when an attempt at a server has its answer or is abandoned. May be nil.
	AttemptCompleted func(server, attemptID string)
}

// Server is where a front end may send requests.
type Server struct{ Name, Addr string }

// ServerLister returns the servers that are registered as a front end sees it now. It may be called from any
// goroutine.
type ServerLister func() []Server

// attemptIDs numbers the attempts of all front ends. A run starts at another number, so that the attempts of two runs
// against one fleet do not share identifiers.
var attemptIDs atomic.Uint64

// frontEndSeedOffset keeps the random sequences of front ends apart from those of other parts with the same seed.
const frontEndSeedOffset = 100

// Run sends requests until ctx ends, and returns when those in flight have ended. What happens to them is added to
// log.
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
		frontEnds.Go(func() { sender.generate(ctx) })
	}
	frontEnds.Wait()
}
