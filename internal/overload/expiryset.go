package overload

import "time"

// expirySet is a set of request fingerprints (see Fingerprint) that expire. Entries are dropped in the order in which they
// were added. An entry whose expiry was extended keeps its place in that order, so entries that were added after it are kept
// until it is dropped, even if they expire earlier.
type expirySet struct {
	expires map[uint64]time.Duration // time of expiry by fingerprint
	order   []uint64                 // the fingerprints, in the order in which they were added
}

func newExpirySet() expirySet { return expirySet{expires: map[uint64]time.Duration{}} }

// size returns the number of entries, expired ones included.
func (s *expirySet) size() int { return len(s.order) }

// has reports whether a fingerprint is in the set, expired or not.
func (s *expirySet) has(fingerprint uint64) bool {
	_, ok := s.expires[fingerprint]
	return ok
}

// hasUnexpired reports whether a fingerprint is in the set and has not expired.
func (s *expirySet) hasUnexpired(now time.Duration, fingerprint uint64) bool {
	expires, ok := s.expires[fingerprint]
	return ok && now < expires
}

// put adds a fingerprint, or replaces its expiry.
func (s *expirySet) put(fingerprint uint64, expires time.Duration) {
	if !s.has(fingerprint) {
		s.order = append(s.order, fingerprint)
	}
	s.expires[fingerprint] = expires
}

// dropOldest drops the entry that was added first. The set must not be empty.
func (s *expirySet) dropOldest() {
	delete(s.expires, s.order[0])
	s.order = s.order[1:]
}

// dropExpired drops entries in the order in which they were added, and stops at one that has not expired.
func (s *expirySet) dropExpired(now time.Duration) {
	for len(s.order) > 0 && s.expires[s.order[0]] <= now {
		s.dropOldest()
	}
}
