package fakes

import (
	"sync"
	"time"

	"falldeal/lab/workerpool"
)

// completionTimer has the owner of a worker pool collect completed items when they are due, by the wall clock. It
// belongs to the owner's lock.
type completionTimer struct {
	timer *time.Timer // nil before the first use
}

// schedule replaces the timer by one for the pool's next completion, if there is one. Then, and for each completion
// after that, collect is called with the lock held, which guards the pool. The caller holds it.
func (c *completionTimer) schedule(lock *sync.Mutex, pool *workerpool.Pool, now func() time.Duration, collect func()) {
	if c.timer != nil {
		c.timer.Stop()
	}
	at, ok := pool.NextCompletion()
	if !ok {
		return
	}
	c.timer = time.AfterFunc(at-now(), func() {
		lock.Lock()
		defer lock.Unlock()
		collect()
		c.schedule(lock, pool, now, collect)
	})
}
