package fakes

import (
	"sync"
	"time"

	"falldeal/lab/workerpool"
)

// completionTimer is a real-time timer that calls a function when items of a worker pool complete. The lock that guards
// the pool also guards the timer.
type completionTimer struct {
	timer *time.Timer // nil before the first use
}

// schedule sets the timer to the pool's next completion, or stops it if there is none. The timer calls collect with the
// lock held, and then sets itself to the next completion. collect must remove the completed items from the pool. The
// caller must hold the lock.
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
