package overload

import "math"

// How demand is encoded: in steps of equal ratio. Part of the wire format.
const (
	minPublishedDemand     = 0.01 // seconds of work a second; a bin with less is encoded as empty
	demandStepsPerDoubling = 8
)

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
