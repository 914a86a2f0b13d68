package standin

import (
	"sync"
	"time"
)

const machineTick = time.Millisecond

// Machine holds the cores of one image server. All that runs shares them. It is safe for concurrent use.
type Machine struct {
	mu    sync.Mutex
	cores int
	speed float64
	jobs  []*job
	use   float64 // share of the cores that is occupied, as a mean over about half a second
	stop  chan struct{}
}

// job is work on the cores.
type job struct {
	left time.Duration // time on one core of the speed 1
	done func()
}

// NewMachine returns a machine whose cores have a speed relative to a standard core. It works until Close.
func NewMachine(cores int, speed float64) *Machine {
	machine := &Machine{cores: cores, speed: speed, stop: make(chan struct{})}
	go machine.work()
	return machine
}

// Close ends the machine.
func (m *Machine) Close() { close(m.stop) }

// Do calls done on another goroutine once the work is done, which is given as time on a standard core.
func (m *Machine) Do(work time.Duration, done func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jobs = append(m.jobs, &job{left: work, done: done})
}

// Load returns the share of the cores that is occupied, and how many runs are on them.
func (m *Machine) Load() (use float64, onCores int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.use, len(m.jobs)
}

func (m *Machine) work() {
	ticker := time.NewTicker(machineTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-m.stop:
			return
		case now := <-ticker.C:
			m.advance(now.Sub(last))
			last = now
		}
	}
}

// advance gives each job its share of the cores for the time that has passed.
func (m *Machine) advance(elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := len(m.jobs)
	share := m.speed
	if count > m.cores {
		share *= float64(m.cores) / float64(count)
	}
	m.use += (min(1, float64(count)/float64(m.cores)) - m.use) * min(1, elapsed.Seconds()*4)
	left := m.jobs[:0]
	for _, current := range m.jobs {
		current.left -= time.Duration(float64(elapsed) * share)
		if current.left <= 0 {
			go current.done()
		} else {
			left = append(left, current)
		}
	}
	m.jobs = left
}
