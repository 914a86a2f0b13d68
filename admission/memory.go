package admission

const (
	safeMemoryRatio  = 0.92 // of the memory; the rest is for requests that are being read
	cacheMemoryRatio = 0.5  // of the limit, up to which results of reads are cached
)

// memoryBudget counts the memory that requests and keys take, and limits it. All sizes are in kB.
type memoryBudget struct {
	capacityKB    float64
	runningFactor float64 // memory of a running request, as a multiple of that of a queued one
	keyKB         float64 // memory of one remembered key
	usedKB        float64
}

func (m *memoryBudget) configure(settings *Settings) {
	m.capacityKB = settings.MemoryKB
	m.runningFactor = settings.RunningMemoryFactor
	m.keyKB = settings.KeyMemoryKB
}

func (m *memoryBudget) limitKB() float64 { return safeMemoryRatio * m.capacityKB }

// exceeded reports whether more is in use than the limit, so that a new request is not admitted.
func (m *memoryBudget) exceeded() bool { return m.usedKB > m.limitKB() }

// wouldExceed reports whether more is in use than the limit once so much more is taken.
func (m *memoryBudget) wouldExceed(moreKB float64) bool { return m.usedKB+moreKB > m.limitKB() }

// allowsCaching reports whether there is so much left that results of reads may be cached.
func (m *memoryBudget) allowsCaching() bool { return m.usedKB < cacheMemoryRatio*m.limitKB() }

// runningExtraKB is the memory that a request takes beyond that of a queued one while it runs.
func (m *memoryBudget) runningExtraKB(requestKB float64) float64 {
	return (m.runningFactor - 1) * requestKB
}

func (m *memoryBudget) take(kB float64)     { m.usedKB += kB }
func (m *memoryBudget) giveBack(kB float64) { m.usedKB -= kB }

// recount adds up what requests and so many keys take, once the sizes of settings have changed.
func (m *memoryBudget) recount(requests map[RequestID]*request, keys int) {
	m.usedKB = float64(keys) * m.keyKB
	for _, request := range requests {
		m.usedKB += request.memoryKB
		if request.state >= running {
			m.usedKB += m.runningExtraKB(request.memoryKB)
		}
	}
}
