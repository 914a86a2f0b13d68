package clients

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"falldeal/lab/history"
)

// retryPause is how long a front end waits when it finds no server or cannot connect to the chosen one.
const retryPause = 20 * time.Millisecond

// frontEnd is one front end. Each of its requests has its own goroutine.
type frontEnd struct {
	number   int
	workload *Workload
	policy   Policy
	servers  ServerLister
	log      *history.Log
	rand     *rand.Rand // used only by the goroutine of generateRequests

	// mu guards the fields below.
	mu           sync.Mutex
	conns        map[Server]*serverConn
	nextServer   int                      // index for round robin
	backoffUntil map[string]time.Duration // by server name, on the clock of log
}

// request is one request of a client, with all its attempts.
type request struct {
	class          *Class
	work           time.Duration // of its run
	rank           float64       // of requests with equal value per work, the server sheds the one with the highest rank last
	key            int           // for routing; also the subject in the message, unless the class is idempotent by key
	idempotencyKey string        // sent if the class is idempotent by key
	arrival        time.Duration // on the clock of the log
	attempts       int           // sent so far
}

// deadline returns the time at which the client abandons the request.
func (r *request) deadline() time.Duration { return r.arrival + r.class.Timeout }

// generateRequests generates requests as a Poisson process until ctx ends, and waits for those in flight.
func (f *frontEnd) generateRequests(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer f.close()
	defer inFlight.Wait()
	arrival := f.log.Now()
	for n := 0; ; n++ {
		arrival += f.drawInterval()
		arrived := f.drawRequest(n, arrival)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(arrival-f.log.Now(), 0)):
		}
		inFlight.Go(func() { f.sendUntilFinal(arrived) })
	}
}

// drawInterval draws the time between two requests of this front end.
func (f *frontEnd) drawInterval() time.Duration {
	seconds := f.rand.ExpFloat64() * float64(f.workload.FrontEnds) / f.workload.RequestsPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// drawRequest draws request n of this front end.
func (f *frontEnd) drawRequest(n int, arrival time.Duration) *request {
	class := &f.workload.Classes[DrawClass(f.workload.Classes, f.rand)]
	return &request{
		class:          class,
		work:           class.DrawWork(f.rand),
		rank:           f.rand.Float64(),
		key:            f.rand.IntN(f.workload.KeyCount),
		arrival:        arrival,
		idempotencyKey: fmt.Sprintf("%08x%08x%016x", f.number, n, f.workload.Seed),
	}
}

// sendUntilFinal makes attempts until the result of a request is final, and records the result.
func (f *frontEnd) sendUntilFinal(pending *request) {
	result := f.attemptUntilFinal(pending)
	f.log.Add(history.Event{
		Kind:        history.RequestCompleted,
		Class:       pending.class.Name,
		Detail:      string(result.outcome),
		Count:       pending.attempts,
		Latency:     f.log.Now() - pending.arrival,
		Value:       pending.class.Value,
		ValueServed: result.value,
		Work:        pending.work,
		Client:      f.number,
	})
}

// requestResult is the final result of a request over all its attempts.
type requestResult struct {
	outcome history.Outcome
	value   float64 // value served
}

// attemptUntilFinal makes attempts until a request is served, its client abandons it, or the policy allows no further
// attempt.
func (f *frontEnd) attemptUntilFinal(pending *request) requestResult {
	result := requestResult{outcome: history.OutcomeRejected}
	for {
		target, ok := f.chooseServer(pending)
		if !ok {
			time.Sleep(retryPause)
			if f.log.Now() >= pending.deadline() {
				return result
			}
			continue
		}
		reply := f.attempt(pending, target)
		if reply.outcome == history.OutcomeServed {
			return f.resultOf(pending, reply)
		}
		result.outcome = reply.outcome
		if reply.outcome == history.OutcomeUnreachable {
			time.Sleep(retryPause)
		}
		if !f.mayRetry(pending, reply) {
			return result
		}
		f.backOff(target, reply.retryAfter)
	}
}

// resultOf returns the result of a request that was served. The outcome is late if the request took longer than the
// latency objective.
func (f *frontEnd) resultOf(served *request, reply answer) requestResult {
	if f.log.Now()-served.arrival > served.class.LatencyObjective {
		return requestResult{outcome: history.OutcomeLate}
	}
	return requestResult{outcome: history.OutcomeServed, value: served.class.ValueServed(reply.degraded)}
}

// mayRetry reports whether another attempt is allowed before the deadline. A request that is idempotent by key is
// retried only if the server rejected it or was unreachable; after any other outcome it may already have run.
func (f *frontEnd) mayRetry(pending *request, reply answer) bool {
	notRun := reply.outcome == history.OutcomeRejected || reply.outcome == history.OutcomeUnreachable
	switch {
	case reply.noRetry && f.policy.HonorRetryAfter:
		return false
	case pending.class.IdempotentByKey && !notRun:
		return false
	case f.log.Now() >= pending.deadline():
		return false
	default:
		return f.policy.MaxAttempts == 0 || pending.attempts < f.policy.MaxAttempts
	}
}

// backOff avoids a server for the time that it asked for, if the policy honors that.
func (f *frontEnd) backOff(target Server, retryAfter time.Duration) {
	if retryAfter <= 0 || !f.policy.HonorRetryAfter {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoffUntil[target.Name] = f.log.Now() + retryAfter
}

// chooseServer returns the server for the next attempt. Ok is false if there is none at present.
func (f *frontEnd) chooseServer(pending *request) (target Server, ok bool) {
	servers := f.servers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.log.Now()
	for range servers {
		i := f.nextServer
		f.nextServer++
		if f.policy.RouteByKey {
			i = keyHash(pending.key) + pending.attempts // the same server in every iteration
		}
		candidate := servers[i%len(servers)]
		if !f.policy.HonorRetryAfter || f.backoffUntil[candidate.Name] <= now {
			return candidate, true
		}
	}
	return Server{}, false
}

// keyHash returns a non-negative hash that distributes keys over servers.
func keyHash(key int) int {
	hash := fnv.New32a()
	fmt.Fprint(hash, key)
	return int(hash.Sum32() >> 1)
}
