package overload

import "time"

// expirySet is a set of fingerprints that are remembered for a while. Members are dropped in the order in which they
// were added, also where the time of an earlier one was extended.
type expirySet struct {
	expires map[uint64]time.Duration
	order   []uint64 // keys of expires, oldest first
}

func newExpirySet() expirySet { return expirySet{expires: map[uint64]time.Duration{}} }

func (s *expirySet) size() int { return len(s.order) }

// has reports whether a fingerprint is in the set, whether it has expired or not.
func (s *expirySet) has(fingerprint uint64) bool {
	_, ok := s.expires[fingerprint]
	return ok
}

// hasUnexpired reports whether a fingerprint is in the set and has not expired.
func (s *expirySet) hasUnexpired(now time.Duration, fingerprint uint64) bool {
	expires, ok := s.expires[fingerprint]
	return ok && now < expires
}

// put adds a fingerprint, or sets anew when it expires.
func (s *expirySet) put(fingerprint uint64, expires time.Duration) {
	if !s.has(fingerprint) {
		s.order = append(s.order, fingerprint)
	}
	s.expires[fingerprint] = expires
}

func (s *expirySet) dropOldest() {
	delete(s.expires, s.order[0])
	s.order = s.order[1:]
}

// dropExpired drops the oldest members up to the first that has not expired.
func (s *expirySet) dropExpired(now time.Duration) {
	for len(s.order) > 0 && s.expires[s.order[0]] <= now {
		s.dropOldest()
	}
}
