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
	least, most time.Duration
	last        time.Duration // without its jitter
	rng         *rand.Rand
}

// New returns a Backoff whose waits double from least up to most, and whose jitter follows from seed; purpose sets apart those of one server.
func New(least, most time.Duration, seed, purpose uint64) *Backoff {
	return &Backoff{least: least, most: most, rng: rand.New(rand.NewPCG(seed, purpose))}
}

// Next returns the wait after one more failure: more than half of the doubled wait and that at most.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.least), b.most)
	half := b.last / 2
	return b.last - time.Duration(b.rng.Int64N(int64(half)+1))
}

// Reset is for a success: the next wait is short again.
func (b *Backoff) Reset() { b.last = 0 }
