package admission

const (
	safeMemoryRatio  = 0.92 // fraction of the memory that is the limit; the rest is for requests being read
	cacheMemoryRatio = 0.5  // fraction of the limit up to which results of reads are cached
)

// memoryBudget tracks and limits the memory that requests and remembered keys use. All sizes are in kB.
type memoryBudget struct {
	capacityKB    float64 // memory of the server
	runningFactor float64 // memory of a running request, as a multiple of that of a queued one
	keyKB         float64 // memory of one remembered key
	usedKB        float64 // reserved by requests and keys
}

func (m *memoryBudget) configure(settings *Settings) {
	m.capacityKB = settings.MemoryKB
	m.runningFactor = settings.RunningMemoryFactor
	m.keyKB = settings.KeyMemoryKB
}

// limitKB returns the limit on the memory in use.
func (m *memoryBudget) limitKB() float64 { return safeMemoryRatio * m.capacityKB }

// exceeded reports whether the memory in use is above the limit, so that new requests are rejected.
func (m *memoryBudget) exceeded() bool { return m.usedKB > m.limitKB() }

// wouldExceed reports whether reserving moreKB would exceed the limit.
func (m *memoryBudget) wouldExceed(moreKB float64) bool { return m.usedKB+moreKB > m.limitKB() }

// allowsCaching reports whether enough memory is free to cache results of reads.
func (m *memoryBudget) allowsCaching() bool { return m.usedKB < cacheMemoryRatio*m.limitKB() }

// runningExtraKB returns the memory that a request needs while it runs, beyond the requestKB that it needs
// while queued.
func (m *memoryBudget) runningExtraKB(requestKB float64) float64 {
	return (m.runningFactor - 1) * requestKB
}

func (m *memoryBudget) reserve(kB float64) { m.usedKB += kB }
func (m *memoryBudget) release(kB float64) { m.usedKB -= kB }

// recount recomputes the memory in use after the sizes in the settings have changed. keys is the number of
// remembered keys.
func (m *memoryBudget) recount(requests map[RequestID]*request, keys int) {
	m.usedKB = float64(keys) * m.keyKB
	for _, request := range requests {
		m.usedKB += request.memoryKB
		if request.state >= running {
			m.usedKB += m.runningExtraKB(request.memoryKB)
		}
	}
}
