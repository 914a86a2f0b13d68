package model

import (
	"math/rand/v2"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/history"
)

const (
	retryPause  = 20 * time.Millisecond // of a front end that found no server
	registryLag = time.Second           // until the front ends' lists of servers show a start or an end
)

// request is what a client asks for, over all its attempts.
type request struct {
	class      *clients.Class
	classIndex int
	work       time.Duration
	rank       float64
	createdAt  time.Duration
	client     int // number of its front end
	attempts   int
}

func (r *request) deadline() time.Duration { return r.createdAt + r.class.Timeout }

// frontEnd sends requests to servers round robin, and retries until the request's deadline.
type frontEnd struct {
	sim             *Simulation
	number          int
	honorRetryAfter bool
	rand            *rand.Rand
	servers         []int                 // by number, in the order in which they are tried
	next            int                   // counts the entries of servers that were looked at
	avoidUntil      map[int]time.Duration // by number of the server, as its Retry-After asked
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

// scheduleArrival schedules the first arrival after from. Each arrival schedules the next one.
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

func (f *frontEnd) newRequest() *request {
	classIndex := clients.DrawClass(f.sim.opts.Classes, f.rand)
	class := &f.sim.opts.Classes[classIndex]
	return &request{
		class: class, classIndex: classIndex,
		work: class.DrawWork(f.rand),
		rank: f.rand.Float64(), createdAt: f.sim.now, client: f.number,
	}
}

// registered reports whether this front end's list has a server as healthy.
func (f *frontEnd) registered(server *server) bool {
	if f.sim.now-server.upChangedAt < registryLag {
		return !server.up // as before the change
	}
	return server.up && server.healthy
}

// nextServer returns the next server that may be tried, or nil.
func (f *frontEnd) nextServer() *server {
	for range f.servers {
		server := f.sim.servers[f.servers[f.next%len(f.servers)]]
		f.next++
		if f.registered(server) && !f.avoids(server) {
			return server
		}
	}
	return nil
}

func (f *frontEnd) avoids(server *server) bool {
	return f.honorRetryAfter && f.avoidUntil[server.number] > f.sim.now
}

// send sends an attempt of a request to the next server.
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

// submit has a server receive an attempt, and waits for the response until shortly after the deadline.
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

func (f *frontEnd) handleResponse(request *request, server *server, response response) {
	switch {
	case response.outcome == history.OutcomeServed && f.sim.now-request.createdAt <= request.class.LatencyObjective:
		f.complete(request, history.OutcomeServed, request.class.ValueServed(response.degraded))
	case response.outcome == history.OutcomeServed:
		f.complete(request, history.OutcomeLate, 0)
	case f.final(request, response):
		f.complete(request, response.outcome, 0)
	default:
		if response.retryAfter > 0 && f.honorRetryAfter {
			f.avoidUntil[server.number] = f.sim.now + response.retryAfter
		}
		f.retry(request, 0)
	}
}

// final reports whether a request that was not served is not tried again.
func (f *frontEnd) final(request *request, response response) bool {
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

// retry sends a request again after a pause, unless its deadline has passed by then.
func (f *frontEnd) retry(request *request, pause time.Duration) {
	f.sim.schedule(f.sim.now+pause, func() {
		if f.sim.now < request.deadline() {
			f.send(request)
		} else {
			f.complete(request, history.OutcomeRejected, 0)
		}
	})
}

// complete records the end of a request.
func (f *frontEnd) complete(request *request, outcome history.Outcome, valueServed float64) {
	f.sim.record(history.Event{
		Kind: history.RequestCompleted, Class: request.class.Name, Client: f.number,
		Detail: string(outcome), Count: request.attempts, Latency: f.sim.now - request.createdAt,
		Value: request.class.Value, ValueServed: valueServed, Work: request.work,
	})
}
