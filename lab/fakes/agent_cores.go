package fakes

import (
	"strconv"
	"time"
)

// readIDPrefix begins the identifiers of reads in the pool, where runs are named by their request.
const readIDPrefix = "read "

// pendingRead is the reading of one request, which takes of the same cores as runs.
type pendingRead struct {
	id   string
	work time.Duration
	done chan struct{} // closed when the request has been read
}

// ReadRequest has the cores read a request. At most limit requests are read at a time; the others queue. The channel
// is closed when the request has been read. Cores must be set.
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

// startReads moves reads from the queue into the pool, as many as the limit allows.
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

// SetSlowdown makes the cores slower by factor from now on; 1 is their normal speed. Cores must be set.
func (a *Agent) SetSlowdown(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.Cores.SetSlowdown(a.Now(), factor)
	a.scheduleAdvance()
}

// advance brings the pool to the present and finishes the runs and reads that have completed.
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
