package rolling

import (
	"math"
	"time"
)

// DecayingPair is a pair of exponentially decaying sums. Both decay by the same factor at the same time, so
// that their quotient is a ratio over the recent past.
type DecayingPair struct {
	First  float64 // as of the last DecayTo or Add
	Second float64 // as of the last DecayTo or Add

	timeConstant time.Duration // in which the sums decay to 1/e
	updatedAt    time.Duration // time of the last decay
}

// NewDecayingPair returns a pair with the given sums at time 0. The sums decay to 1/e of their values in each
// timeConstant.
func NewDecayingPair(timeConstant time.Duration, first, second float64) DecayingPair {
	return DecayingPair{First: first, Second: second, timeConstant: timeConstant}
}

// Add decays both sums to now and then adds first and second to them.
func (d *DecayingPair) Add(now time.Duration, first, second float64) {
	d.DecayTo(now)
	d.First += first
	d.Second += second
}

// DecayTo decays both sums to now. A time before the last decay changes nothing.
func (d *DecayingPair) DecayTo(now time.Duration) {
	if now <= d.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-d.updatedAt) / float64(d.timeConstant))
	d.First *= factor
	d.Second *= factor
	d.updatedAt = now
}
