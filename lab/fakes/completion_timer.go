package fakes

import (
	"sync"
	"time"

	"falldeal/lab/workerpool"
)

// completionTimer calls back when items of a worker pool complete, by the wall clock. The lock that guards the pool
// also guards the timer.
type completionTimer struct {
	timer *time.Timer // nil before the first use
}

// schedule sets the timer to the pool's next completion, if there is one, and replaces an earlier setting. The timer
// calls collect with the lock held, and then sets itself to the next completion. The caller must hold the lock.
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
