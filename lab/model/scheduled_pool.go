package model

import (
	"time"

	"falldeal/lab/workerpool"
)

// scheduledPool is a worker pool that has its owner collect completed items when they are due.
type scheduledPool struct {
	*workerpool.Pool
	sim              *Simulation
	schedule         func(at time.Duration, do func())
	collect          func() // takes the completed items from the pool
	nextCompletionAt time.Duration
}

// hasScheduledBy reports whether a completion is scheduled that is still to come and not after a time.
func (p *scheduledPool) hasScheduledBy(at time.Duration) bool {
	return p.nextCompletionAt > p.sim.now && p.nextCompletionAt <= at
}

// scheduleCompletion schedules the next completion. The owner calls it after each change of the pool.
func (p *scheduledPool) scheduleCompletion() {
	at, ok := p.NextCompletion()
	if !ok || p.hasScheduledBy(at) {
		return
	}
	p.nextCompletionAt = at
	p.schedule(at, func() {
		if p.nextCompletionAt != at {
			return // another completion was scheduled since
		}
		p.nextCompletionAt = 0
		p.collect()
		p.scheduleCompletion()
	})
}
