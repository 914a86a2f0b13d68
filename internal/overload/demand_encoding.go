package overload

import "math"

// Each bin of a demand is encoded in one byte, as a step on a logarithmic scale. The scale is part of the wire format.
const (
	minPublishedDemand     = 0.01 // demand of step 1 in seconds of work per second; a bin with less is encoded as empty
	demandStepsPerDoubling = 8    // adjacent steps differ by 9%
)

// Append appends the encoded demand to b. The encoding is the index of the first bin that is not empty, followed by one
// step for each bin from there to the last bin that is not empty. Nothing is appended if all bins are empty.
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

// demandStep returns the step that is closest to the demand of a bin. Step 0 stands for an empty bin.
func demandStep(work float64) byte {
	if work < minPublishedDemand {
		return 0
	}
	return byte(min(1+math.Round(demandStepsPerDoubling*math.Log2(work/minPublishedDemand)), math.MaxUint8))
}

// demandSteps holds the demand that each step stands for, in seconds of work per second.
var demandSteps = func() (steps [math.MaxUint8 + 1]float64) {
	for step := 1; step < len(steps); step++ {
		steps[step] = minPublishedDemand * math.Exp2(float64(step-1)/demandStepsPerDoubling)
	}
	return steps
}()

// addEncoded adds encoded demand, multiplied by factor. It ignores steps beyond the last bin.
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

// encodedDemandTotal returns the sum of encoded demand in seconds of work per second. A malformed encoding may have steps
// beyond the last bin. Unlike addEncoded, it counts these as well, but at most demandBins steps in total.
func encodedDemandTotal(encoded string) (total float64) {
	if encoded == "" {
		return 0
	}
	for _, step := range []byte(encoded[1:min(len(encoded), demandBins+1)]) {
		total += demandSteps[step]
	}
	return total
}
