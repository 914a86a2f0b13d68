package overload

import "time"

const (
	targetReportRate = 16 // sampled attempts per second that a server aims not to exceed
	minSampleDivisor = 1
	maxSampleDivisor = 1 << 12
	maxPending       = 4 * targetReportRate // largest number of attempts that are reported at one tick
	minTickSeconds   = 0.1                  // lower bound of the time that the rate of arrivals is computed over
)

// attemptSample chooses the requests whose attempts are reported: those whose fingerprint is divisible by divisor. The
// divisor is a power of two that grows with the load. Two servers with about the same load therefore sample the same
// requests. A server with more load samples a subset of the requests that the others sample.
type attemptSample struct {
	divisor  uint64   // one fingerprint in this many is sampled
	pending  []uint64 // fingerprints of the attempts to report at the next tick
	arrivals float64  // attempts since the last tick, sampled or not
}

// add counts an attempt. If it is sampled and fewer than maxPending are pending, it will be reported at the next tick.
func (s *attemptSample) add(fingerprint uint64) {
	s.arrivals++
	if fingerprint%s.divisor == 0 && len(s.pending) < maxPending {
		s.pending = append(s.pending, fingerprint)
	}
}

// reset adjusts the divisor to the rate of arrivals in the elapsed time, and clears the counts. It lowers the divisor only
// if a quarter of it is enough, so that the divisor does not alternate between two values.
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
