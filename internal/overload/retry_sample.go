package overload

import "time"

const (
	targetReportRate = 16 // attempts that each server reports a second, about
	minSampleDivisor = 1  // one fingerprint in so many is sampled
	maxSampleDivisor = 1 << 12
	maxPending       = 4 * targetReportRate
	minTickSeconds   = 0.1 // for which the rate of arrivals is taken at least
)

// attemptSample chooses the fingerprints whose attempts are reported: those that its divisor divides. The divisor is a
// power of two that follows the load, so that two servers with about the same load sample the same requests. One with
// more load samples a part of what the others do, and reports less of each request.
type attemptSample struct {
	divisor  uint64
	pending  []uint64 // fingerprints to report at the next tick
	arrivals float64  // attempts since the last tick
}

// add counts an attempt, and has it reported if it is sampled.
func (s *attemptSample) add(fingerprint uint64) {
	s.arrivals++
	if fingerprint%s.divisor == 0 && len(s.pending) < maxPending {
		s.pending = append(s.pending, fingerprint)
	}
}

// reset adjusts the divisor to the arrivals in the time that has elapsed, and begins to count anew. The divisor falls
// only once a quarter of it would do, so that it does not alternate.
func (s *attemptSample) reset(elapsed time.Duration) {
	divisor := uint64(minSampleDivisor)
	seconds := max(elapsed.Seconds(), minTickSeconds)
	for s.arrivals > float64(divisor*targetReportRate)*seconds && divisor < maxSampleDivisor {
		divisor *= 2
	}
	if divisor > s.divisor || 4*divisor <= s.divisor {
		s.divisor = divisor
	}
	s.pending = s.pending[:0]
	s.arrivals = 0
}
