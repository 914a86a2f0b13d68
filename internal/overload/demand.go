package overload

// Demand is the requested work by priority bin, in seconds of work per second. Priority defines the bins.
type Demand [demandBins]float64

// Total returns the sum over all bins, in seconds of work per second.
func (d *Demand) Total() (total float64) {
	for _, work := range d {
		total += work
	}
	return total
}

func (d *Demand) scale(factor float64) {
	for bin := range d {
		d[bin] *= factor
	}
}

// thresholdFor returns the priority down to which the demand fits into capacity (in seconds of work per second), counted
// from the highest priority. It assumes that the demand of a bin is spread evenly over the bin. It returns 0 if all of
// the demand fits.
func (d *Demand) thresholdFor(capacity float64) float64 {
	for bin := demandBins - 1; bin >= 0; bin-- {
		if d[bin] > capacity {
			return float64(bin+1) - capacity/d[bin]
		}
		capacity -= d[bin]
	}
	return 0
}
