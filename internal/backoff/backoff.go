// Package backoff computes the delays between retries: exponential backoff with equal jitter. It has no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff yields delays that double from a minimum to a maximum. Up to half of each delay is taken off at random, so
// that servers that failed together do not retry together. A Backoff belongs to one goroutine.
type Backoff struct {
	minDelay, maxDelay time.Duration
	lastDelay          time.Duration // without its jitter; 0 after New and Reset
	rng                *rand.Rand
}

// New returns a Backoff whose delays double from minDelay to maxDelay. The jitter is determined by seed and purpose:
// the seed is the server's, and the purpose separates its Backoffs from each other.
func New(minDelay, maxDelay time.Duration, seed, purpose uint64) *Backoff {
	return &Backoff{minDelay: minDelay, maxDelay: maxDelay, rng: rand.New(rand.NewPCG(seed, purpose))}
}

// Next returns the delay after one more failure, from half of the doubled delay up to the whole of it.
func (b *Backoff) Next() time.Duration {
	b.lastDelay = min(max(2*b.lastDelay, b.minDelay), b.maxDelay)
	half := b.lastDelay / 2
	return b.lastDelay - time.Duration(b.rng.Int64N(int64(half)+1))
}

// Reset starts again from the minimum, after a success.
func (b *Backoff) Reset() { b.lastDelay = 0 }
