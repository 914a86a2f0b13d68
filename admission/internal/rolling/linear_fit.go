package rolling

const (
	minVariance = 1e-9 // variance of x at or below which the slope is taken as 0
	minX        = 1e-9 // lower bound of the mean of x that is divided by
)

// LinearFit is a least-squares line through recent points, with exponentially decreasing weights. Its slope
// is clamped between 0 and that of the line through the origin and the mean point, so that imprecise x values
// do not lead to extreme estimates.
type LinearFit struct {
	x, y   Average // means of x and y
	xx, xy Average // means of x*x and x*y
}

// Add adds a point. gain, from 0 to 1, is the weight of the point in the new means; that of all earlier
// points together is 1-gain. The first point has weight 1.
func (f *LinearFit) Add(x, y, gain float64) {
	f.x.Add(x, gain)
	f.y.Add(y, gain)
	f.xx.Add(x*x, gain)
	f.xy.Add(x*y, gain)
}

// Known reports whether a point was added.
func (f *LinearFit) Known() bool { return f.x.Known() }

// At returns the value of the line at x, or 0 if no point was added.
func (f *LinearFit) At(x float64) float64 {
	return f.y.value + f.slope()*(x-f.x.value)
}

func (f *LinearFit) slope() float64 {
	variance := f.xx.value - f.x.value*f.x.value
	if variance <= minVariance {
		return 0
	}
	leastSquares := (f.xy.value - f.x.value*f.y.value) / variance
	throughOrigin := f.y.value / max(f.x.value, minX)
	return min(max(leastSquares, 0), throughOrigin)
}
