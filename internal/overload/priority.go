package overload

import "math"

// Requests are ordered by their value per second of work. The priority bins divide this order evenly on a logarithmic
// scale, from 1/16 to 4096. They are part of the wire format: all members must use the same ones.
const (
	demandBins     = 48
	binsPerOctave  = 3  // bins for each doubling of the value
	lowestExponent = -4 // binary logarithm of the value per second of work at the lower edge of bin 0
)

// maxPriority is the highest priority, just inside the last bin.
const maxPriority = demandBins - 1e-6

// Priority returns the priority of a request, from 0 to maxPriority; its integer part is the priority bin. The priority
// grows with the logarithm of value/work, where work is in seconds. The rank, from 0 to 1, orders requests of the same
// value/work: it adds up to one bin. All members compute the same priority for the same request, so that they shed the
// same requests.
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

// ValuePerSecondAt returns the highest value per second of work that a request of this priority can have, which is that
// of a request of rank 0.
func ValuePerSecondAt(priority float64) float64 {
	return math.Exp2(priority/binsPerOctave + lowestExponent)
}
