package rolling

import (
	"math"
	"time"
)

// DecayingPair is a pair of sums that decay exponentially, both by the same factor at the same time, so that their
// quotient is a ratio over the recent past.
type DecayingPair struct {
	First  float64
	Second float64

	timeConstant time.Duration
	updatedAt    time.Duration
}

// NewDecayingPair returns a pair of sums at time 0 that decay to 1/e of their values in each timeConstant.
func NewDecayingPair(timeConstant time.Duration, first, second float64) DecayingPair {
	return DecayingPair{First: first, Second: second, timeConstant: timeConstant}
}

// Add lets both sums decay until now and adds to them.
func (d *DecayingPair) Add(now time.Duration, first, second float64) {
	d.DecayTo(now)
	d.First += first
	d.Second += second
}

// DecayTo lets both sums decay until now.
func (d *DecayingPair) DecayTo(now time.Duration) {
	if now <= d.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-d.updatedAt) / float64(d.timeConstant))
	d.First *= factor
	d.Second *= factor
	d.updatedAt = now
}
