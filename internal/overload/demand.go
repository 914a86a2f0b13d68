package overload

// Demand is the work that is requested, by bin of priority, in seconds of work a second.
type Demand [demandBins]float64

// Total returns the demand of all bins.
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
