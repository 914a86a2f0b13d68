package fakes

import (
	"strconv"
	"time"
)

// readIDPrefix distinguishes the IDs of reads in the pool from those of runs, which are request IDs.
const readIDPrefix = "read "

// pendingRead is a request that is being read or waits to be. Reads and runs share the same cores.
type pendingRead struct {
	id   string
	work time.Duration
	done chan struct{} // closed when the request has been read
}

// ReadRequest spends work on the cores to read a request. The returned channel is closed when the request has been
// read. At most limit requests are read at a time; the others wait in a queue. Cores must be set.
func (a *Agent) ReadRequest(work time.Duration, limit int) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.readCount++
	read := &pendingRead{id: readIDPrefix + strconv.Itoa(a.readCount), work: work, done: make(chan struct{})}
	a.readQueue = append(a.readQueue, read)
	a.maxReads = limit
	a.startReads()
	a.scheduleAdvance()
	return read.done
}

// startReads moves reads from the queue into the pool up to the limit.
func (a *Agent) startReads() {
	if a.activeReads == nil {
		a.activeReads = map[string]*pendingRead{}
	}
	for len(a.readQueue) > 0 && len(a.activeReads) < a.maxReads {
		read := a.readQueue[0]
		a.readQueue = a.readQueue[1:]
		a.activeReads[read.id] = read
		a.Cores.Add(read.id, read.work)
	}
}

// SetSlowdown slows the cores down by factor from now on; 1 is normal speed. Cores must be set.
func (a *Agent) SetSlowdown(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.Cores.SetSlowdown(a.Now(), factor)
	a.scheduleAdvance()
}

// advance advances the pool to the present and finishes the runs and reads that have completed.
func (a *Agent) advance() {
	for _, id := range a.Cores.Advance(a.Now()) {
		if read := a.activeReads[id]; read != nil {
			delete(a.activeReads, id)
			close(read.done)
			continue
		}
		a.finishRun(a.runs[id], RunSucceeded)
	}
	a.startReads()
}

// scheduleAdvance sets the timer to the next completion in the pool.
func (a *Agent) scheduleAdvance() {
	a.timer.schedule(&a.mu, a.Cores, a.Now, a.advance)
}
