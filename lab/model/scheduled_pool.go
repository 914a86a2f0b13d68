package model

import (
	"time"

	"falldeal/lab/workerpool"
)

// scheduledPool is a worker pool that has its owner collect completed items when they are due.
type scheduledPool struct {
	*workerpool.Pool
	sim      *Simulation
	schedule func(at time.Duration, do func())
	collect  func() // takes the completed items from the pool
	dueAt    time.Duration
}

// scheduleCompletion schedules the next completion. The owner calls it after each change of the pool.
func (p *scheduledPool) scheduleCompletion() {
	at, ok := p.NextCompletion()
	if !ok || p.dueAt > p.sim.now && p.dueAt <= at {
		return
	}
	p.dueAt = at
	p.schedule(at, func() {
		if p.dueAt != at {
			return // another completion was scheduled since
		}
		p.dueAt = 0
		p.collect()
		p.scheduleCompletion()
	})
}
