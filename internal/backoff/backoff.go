// Package backoff computes the delays between retries: exponential backoff with equal jitter. It has no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	multiplier   = 2 // of the delay, from failure to failure
	jitterFactor = 2 // up to a delay divided by this is taken off at random
)

// Config sets the delays of a Backoff. No field has a default.
type Config struct {
	// BaseDelay is the delay after the first failure, without its jitter.
	BaseDelay time.Duration
	// MaxDelay is the longest delay, without its jitter.
	MaxDelay time.Duration
	// Seed is the server's: the jitter follows from it and from Stream alone.
	Seed uint64
	// Stream sets the jitter apart from that of other Backoffs with the same seed.
	Stream uint64
}

// Backoff yields delays that double from BaseDelay to MaxDelay. Up to half of each delay is taken off at random, so that
// servers that failed together do not retry together. A Backoff belongs to one goroutine.
type Backoff struct {
	config    Config
	lastDelay time.Duration // without its jitter; 0 after New and Reset
	rng       *rand.Rand
}

// New returns a Backoff that has seen no failure yet.
func New(config Config) *Backoff {
	return &Backoff{config: config, rng: rand.New(rand.NewPCG(config.Seed, config.Stream))}
}

// Next returns the delay after one more failure, from half of the delay without jitter up to the whole of it.
func (b *Backoff) Next() time.Duration {
	b.lastDelay = min(max(multiplier*b.lastDelay, b.config.BaseDelay), b.config.MaxDelay)
	maxJitter := int64(b.lastDelay / jitterFactor)
	return b.lastDelay - time.Duration(b.rng.Int64N(maxJitter+1))
}

// Reset starts again from BaseDelay, after a success.
func (b *Backoff) Reset() { b.lastDelay = 0 }
