// Package backoff computes the delays between retries: exponential backoff with equal jitter. It has no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	multiplier    = 2 // growth of the delay from one failure to the next
	jitterDivisor = 2 // the jitter subtracted from a delay is at most the delay divided by this
)

// Config configures a Backoff. Every field must be set; there are no defaults.
type Config struct {
	// BaseDelay is the delay after the first failure, before jitter.
	BaseDelay time.Duration
	// MaxDelay is the upper bound of the delay, before jitter.
	MaxDelay time.Duration
	// Seed is the random seed of the jitter, which depends on Seed and Stream alone, so that a simulation can be repeated.
	// It must differ between servers: with the same Seed, servers that failed together would retry together.
	Seed uint64
	// Stream makes the jitter differ from that of other Backoffs with the same Seed.
	Stream uint64
}

// Backoff computes delays that double from BaseDelay up to MaxDelay. Up to half of each delay is subtracted at random,
// so that servers that failed together do not retry together. A Backoff is not safe for concurrent use.
type Backoff struct {
	config    Config
	lastDelay time.Duration // before jitter; 0 after New and Reset
	rng       *rand.Rand
}

// New returns a Backoff whose first delay is BaseDelay.
func New(config Config) *Backoff {
	return &Backoff{config: config, rng: rand.New(rand.NewPCG(config.Seed, config.Stream))}
}

// Next returns the delay after one more failure: a random value between half of the delay before jitter and all of it.
func (b *Backoff) Next() time.Duration {
	b.lastDelay = min(max(multiplier*b.lastDelay, b.config.BaseDelay), b.config.MaxDelay)
	maxJitter := int64(b.lastDelay / jitterDivisor)
	return b.lastDelay - time.Duration(b.rng.Int64N(maxJitter+1))
}

// Reset makes the next delay start from BaseDelay again. The owner calls it after a success.
func (b *Backoff) Reset() { b.lastDelay = 0 }
