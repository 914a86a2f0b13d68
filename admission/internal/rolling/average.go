package rolling

// Average is an exponential moving average that starts at the first value added. The zero Average has no
// value yet.
type Average struct {
	value float64
	known bool
}

// AverageOf returns an Average whose current value is value.
func AverageOf(value float64) Average { return Average{value: value, known: true} }

// Add moves the average towards value by the fraction gain, from 0 to 1, of their difference.
func (a *Average) Add(value, gain float64) {
	if !a.known {
		a.value = value
		a.known = true
		return
	}
	a.value += gain * (value - a.value)
}

// Scale multiplies the average by factor.
func (a *Average) Scale(factor float64) { a.value *= factor }

// Known reports whether a value was added.
func (a *Average) Known() bool { return a.known }

// Value returns the average, or 0 if no value was added.
func (a *Average) Value() float64 { return a.value }

// ValueOr returns the average, or value if none was added.
func (a *Average) ValueOr(value float64) float64 {
	if a.known {
		return a.value
	}
	return value
}
