package model

import (
	"math/rand/v2"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/history"
)

const (
	retryPause  = 20 * time.Millisecond // before a retry if no server is available or the chosen one is down
	registryLag = time.Second           // until front ends see in the registry that a server has started or ended
)

// request is a request of a client, over all its attempts.
type request struct {
	class      *clients.Class
	classIndex int           // index of class in the options
	work       time.Duration // processor time on a core of speed 1
	rank       float64       // random number in [0, 1) that orders requests of equal value per second of work
	createdAt  time.Duration
	client     int // number of the front end
	attempts   int // attempts sent so far
}

func (r *request) deadline() time.Duration { return r.createdAt + r.class.Timeout }

// frontEnd sends requests to the servers in round-robin order, and retries a request until its deadline.
type frontEnd struct {
	sim             *Simulation
	number          int
	honorRetryAfter bool
	rand            *rand.Rand
	servers         []int                 // numbers of all servers, in the order in which they are tried
	nextIndex       int                   // index in servers, modulo their number, at which the next search starts
	avoidUntil      map[int]time.Duration // by server number: until when Retry-After asks not to use it
}

func newFrontEnd(sim *Simulation, number int) *frontEnd {
	return &frontEnd{
		sim: sim, number: number,
		honorRetryAfter: sim.rand.Float64() < sim.opts.HonorRetryAfterRatio,
		avoidUntil:      map[int]time.Duration{},
		rand:            rand.New(rand.NewPCG(sim.opts.Seed, uint64(number)+frontEndRandStream)),
		servers:         sim.rand.Perm(sim.opts.Servers),
	}
}

// scheduleArrival schedules the first arrival after from, if that comes before Options.Duration. Arrivals are a Poisson process
// at the rate that holds when an arrival is scheduled. Each arrival schedules the next one.
func (f *frontEnd) scheduleArrival(from time.Duration) {
	mean := float64(f.sim.opts.FrontEnds) / f.sim.arrivalRate()
	at := from + time.Duration(f.rand.ExpFloat64()*mean*float64(time.Second))
	if at >= f.sim.opts.Duration {
		return
	}
	f.sim.schedule(at, func() {
		f.scheduleArrival(at)
		f.send(f.newRequest())
	})
}

// newRequest draws a request.
func (f *frontEnd) newRequest() *request {
	classIndex := clients.DrawClass(f.sim.opts.Classes, f.rand)
	class := &f.sim.opts.Classes[classIndex]
	return &request{
		class: class, classIndex: classIndex,
		work: class.DrawWork(f.rand),
		rank: f.rand.Float64(), createdAt: f.sim.now, client: f.number,
	}
}

// isListed reports whether the registry lists a server as healthy. The start and the end of a process appear there after
// registryLag, a change of health at once.
func (f *frontEnd) isListed(server *server) bool {
	if f.sim.now-server.upChangedAt < registryLag {
		return !server.up // still listed as before the change
	}
	return server.up && server.healthy
}

// nextServer returns the next server in round-robin order that is listed and not avoided, or nil if there is none.
func (f *frontEnd) nextServer() *server {
	for range f.servers {
		server := f.sim.servers[f.servers[f.nextIndex%len(f.servers)]]
		f.nextIndex++
		if f.isListed(server) && !f.avoids(server) {
			return server
		}
	}
	return nil
}

// avoids reports whether the front end avoids a server, because it honors a Retry-After of that server which has not expired.
func (f *frontEnd) avoids(server *server) bool {
	return f.honorRetryAfter && f.avoidUntil[server.number] > f.sim.now
}

// send sends an attempt of a request to the next server. It retries after retryPause if there is no server to try, or if
// the server is down.
func (f *frontEnd) send(request *request) {
	server := f.nextServer()
	if server == nil {
		f.retry(request, retryPause)
		return
	}
	request.attempts++
	f.sim.schedule(f.sim.now+networkDelay, func() {
		if !server.up {
			f.retry(request, retryPause)
			return
		}
		f.submit(request, server)
	})
}

// submit has a server receive an attempt. If no response arrives by answerGrace after the deadline, the request is recorded as
// abandoned.
func (f *frontEnd) submit(request *request, server *server) {
	waiting := true
	f.sim.schedule(request.deadline()+answerGrace, func() {
		if waiting {
			waiting = false
			f.complete(request, history.OutcomeAbandoned, 0)
		}
	})
	server.receive(request, request.deadline(), func(response response) {
		f.sim.schedule(f.sim.now+networkDelay, func() {
			if waiting {
				waiting = false
				f.handleResponse(request, server, response)
			}
		})
	})
}

// handleResponse completes or retries a request after the response to its last attempt.
func (f *frontEnd) handleResponse(request *request, server *server, response response) {
	switch {
	case response.outcome == history.OutcomeServed && f.sim.now-request.createdAt <= request.class.LatencyObjective:
		f.complete(request, history.OutcomeServed, request.class.ValueServed(response.degraded))
	case response.outcome == history.OutcomeServed:
		f.complete(request, history.OutcomeLate, 0)
	case f.isFinal(request, response):
		f.complete(request, response.outcome, 0)
	default:
		if response.retryAfter > 0 && f.honorRetryAfter {
			f.avoidUntil[server.number] = f.sim.now + response.retryAfter
		}
		f.retry(request, 0)
	}
}

// isFinal reports whether a request that was not served must not be retried: because the server forbids it and the front end
// honors that, because the request must run at most once and may have run, or because its deadline has passed.
func (f *frontEnd) isFinal(request *request, response response) bool {
	mayHaveRun := response.outcome != history.OutcomeRejected
	switch {
	case response.noRetryElsewhere && f.honorRetryAfter:
		return true
	case request.class.IdempotentByKey && mayHaveRun:
		return true
	default:
		return f.sim.now >= request.deadline()
	}
}

// retry sends a request again after a pause. If its deadline has passed by then, the request is recorded as rejected.
func (f *frontEnd) retry(request *request, pause time.Duration) {
	f.sim.schedule(f.sim.now+pause, func() {
		if f.sim.now < request.deadline() {
			f.send(request)
		} else {
			f.complete(request, history.OutcomeRejected, 0)
		}
	})
}

// complete records the outcome of a request and the value served.
func (f *frontEnd) complete(request *request, outcome history.Outcome, valueServed float64) {
	f.sim.record(history.Event{
		Kind: history.RequestCompleted, Class: request.class.Name, Client: f.number,
		Detail: string(outcome), Count: request.attempts, Latency: f.sim.now - request.createdAt,
		Value: request.class.Value, ValueServed: valueServed, Work: request.work,
	})
}
