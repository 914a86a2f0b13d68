// Package backoff says how long to wait before something that failed is tried again. It has no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff yields waits that double. Half of each wait is drawn at random ("equal jitter"): what
// struck a fleet at one instant must not be repeated by all of it at one instant, again and again. It belongs to
// one goroutine.
type Backoff struct {
	minDelay, maxDelay time.Duration
	lastDelay          time.Duration // without its jitter
	rng                *rand.Rand
}

// New returns a Backoff whose waits double from least up to most, and whose jitter follows from seed; purpose sets apart those of one server.
func New(minDelay, maxDelay time.Duration, seed, purpose uint64) *Backoff {
	return &Backoff{minDelay: minDelay, maxDelay: maxDelay, rng: rand.New(rand.NewPCG(seed, purpose))}
}

// Next returns the wait after one more failure: more than half of the doubled wait and that at most.
func (b *Backoff) Next() time.Duration {
	b.lastDelay = min(max(2*b.lastDelay, b.minDelay), b.maxDelay)
	half := b.lastDelay / 2
	return b.lastDelay - time.Duration(b.rng.Int64N(int64(half)+1))
}

// Reset is for a success: the next wait is short again.
func (b *Backoff) Reset() { b.lastDelay = 0 }
