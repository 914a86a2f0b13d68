package rolling

const (
	minVariance = 1e-9 // of x, below which all points are taken to have one x
	minX        = 1e-9 // least mean of x that is divided by
)

// LinearFit is a least-squares line through recent points, older ones weighing less. Its slope is clamped between 0 and
// that of the line through the origin and the mean point, so that imprecise x values do not lead to extreme values.
type LinearFit struct {
	x, y   Average
	xx, xy Average
}

// Add adds a point. Gain is its weight against all earlier points, from 0 to 1.
func (f *LinearFit) Add(x, y, gain float64) {
	f.x.Add(x, gain)
	f.y.Add(y, gain)
	f.xx.Add(x*x, gain)
	f.xy.Add(x*y, gain)
}

// Known reports whether a point was added.
func (f *LinearFit) Known() bool { return f.x.Known() }

// At returns the line's value at x, or 0 before a point was added.
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
