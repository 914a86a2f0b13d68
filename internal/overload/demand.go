package overload

import "math"

// Requests are ordered by their value for a second of work. Bins divide that order evenly on a logarithmic scale. They
// are part of the wire format.
const (
	demandBins     = 48
	binsPerOctave  = 3
	lowestExponent = -4 // binary logarithm of the value per second of work at the lower edge of bin 0
)

// How demand is encoded: in steps of equal ratio. Part of the wire format.
const (
	minPublishedDemand     = 0.01 // seconds of work a second; a bin with less is encoded as empty
	demandStepsPerDoubling = 8
)

// maxPriority is the highest priority, just inside the last bin.
const maxPriority = demandBins - 1e-6

// Priority returns the place of a request in the common order, from 0 to just under the number of bins. The order is by
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

// Demand is the work that is requested, by bin of priority, in seconds of work a second.
type Demand [demandBins]float64

// Total returns the demand of all bins.
func (d *Demand) Total() (total float64) {
	for _, work := range d {
		total += work
	}
	return total
}

// Append appends the encoded demand to b: the number of the first bin that has any, then a step for each bin up to the
// last that has any. Without demand nothing is appended.
func (d *Demand) Append(b []byte) []byte {
	first, last := demandBins, -1
	for bin, work := range d {
		if work >= minPublishedDemand {
			first, last = min(first, bin), bin
		}
	}
	if last < 0 {
		return b
	}
	b = append(b, byte(first))
	for _, work := range d[first : last+1] {
		b = append(b, demandStep(work))
	}
	return b
}

// demandStep returns the step that is closest to the demand of a bin; 0 stands for none.
func demandStep(work float64) byte {
	if work < minPublishedDemand {
		return 0
	}
	return byte(min(1+math.Round(demandStepsPerDoubling*math.Log2(work/minPublishedDemand)), math.MaxUint8))
}

// demandSteps holds the demand that each step stands for.
var demandSteps = func() (steps [math.MaxUint8 + 1]float64) {
	for step := 1; step < len(steps); step++ {
		steps[step] = minPublishedDemand * math.Exp2(float64(step-1)/demandStepsPerDoubling)
	}
	return steps
}()

// addEncoded adds encoded demand, times a factor. Bins that do not exist are ignored.
func (d *Demand) addEncoded(encoded string, factor float64) {
	if encoded == "" {
		return
	}
	for i, step := range []byte(encoded[1:]) {
		if bin := int(encoded[0]) + i; bin < demandBins {
			d[bin] += factor * demandSteps[step]
		}
	}
}

// encodedDemandTotal returns the total of encoded demand, also of bins that do not exist.
func encodedDemandTotal(encoded string) (total float64) {
	if encoded == "" {
		return 0
	}
	for _, step := range []byte(encoded[1:min(len(encoded), demandBins+1)]) {
		total += demandSteps[step]
	}
	return total
}

func (d *Demand) scale(factor float64) {
	for bin := range d {
		d[bin] *= factor
	}
}

// thresholdFor admits demand from the highest priority down until the capacity is used up, and returns the priority that
// it reaches; 0 if there is capacity for all.
func (d *Demand) thresholdFor(capacity float64) float64 {
	for bin := demandBins - 1; bin >= 0; bin-- {
		if d[bin] > capacity {
			return float64(bin+1) - capacity/d[bin]
		}
		capacity -= d[bin]
	}
	return 0
}
