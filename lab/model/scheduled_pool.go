package model

import (
	"time"

	"falldeal/lab/workerpool"
)

// scheduledPool is a worker pool that calls its owner when items are due to complete.
type scheduledPool struct {
	*workerpool.Pool
	sim              *Simulation
	schedule         func(at time.Duration, do func()) // calls do at a time
	collect          func()                            // collects the completed items from the pool
	nextCompletionAt time.Duration                     // time of the scheduled collection; in the past if there is none
}

// hasScheduledBy reports whether a collection is scheduled for a time in the future that is not after at.
func (p *scheduledPool) hasScheduledBy(at time.Duration) bool {
	return p.nextCompletionAt > p.sim.now && p.nextCompletionAt <= at
}

// scheduleCompletion schedules a collection for the next completion, unless one is scheduled earlier. The owner calls it
// after each change of the pool.
func (p *scheduledPool) scheduleCompletion() {
	at, ok := p.NextCompletion()
	if !ok || p.hasScheduledBy(at) {
		return
	}
	p.nextCompletionAt = at
	p.schedule(at, func() {
		if p.nextCompletionAt != at {
			return // superseded by an earlier collection
		}
		p.nextCompletionAt = 0
		p.collect()
		p.scheduleCompletion()
	})
}
