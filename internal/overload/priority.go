package overload

import "math"

// Requests are ordered by their value for a second of work. Bins divide that order evenly on a logarithmic scale. All
// members must have the same bins, which are part of the wire format.
const (
	demandBins     = 48
	binsPerOctave  = 3
	lowestExponent = -4 // binary logarithm of the value per second of work at the lower edge of bin 0
)

// maxPriority is the highest priority, just inside the last bin.
const maxPriority = demandBins - 1e-6

// Priority returns the priority of a request in the order of the fleet, from 0 to just under the number of bins. The order is by
// value for a second of work, then by rank in [0, 1]. All members compute the same priority for the same request, so
// that they shed the same ones.
func Priority(value, work, rank float64) float64 {
	priority := binsPerOctave * (math.Log2(value/work) - lowestExponent)
	if !(priority > 0) { // also if it is NaN
		priority = 0
	}
	if rank > 0 {
		priority += min(rank, 1)
	}
	return min(priority, maxPriority)
}

// ValuePerSecondAt returns the highest value for a second of work that a request of this priority can have.
func ValuePerSecondAt(priority float64) float64 {
	return math.Exp2(priority/binsPerOctave + lowestExponent)
}
