package release

import "fmt"

// Criteria bound the error rates of a Judge. The first three fields must be above 0 and below 1.
type Criteria struct {
	FalseHaltRate float64 // largest probability to reject a canary that is no worse, at any time in the whole rollout
	FalsePassRate float64 // largest probability to pass a group in which the canary is worse by MinEffect
	MinEffect     float64 // smallest increase of the error ratio that matters: 0.02 is two requests in a hundred
	MinRequests   int     // requests that the canary must have served in each group before it can pass; at least 1
}

// check returns an error if a field is out of its range.
func (c *Criteria) check() error {
	for _, rate := range []struct {
		field string
		value float64
	}{
		{"FalseHaltRate", c.FalseHaltRate},
		{"FalsePassRate", c.FalsePassRate},
		{"MinEffect", c.MinEffect},
	} {
		if !(rate.value > 0 && rate.value < 1) {
			return fmt.Errorf("%s: %v is not above 0 and below 1", rate.field, rate.value)
		}
	}
	if c.MinRequests < 1 {
		return fmt.Errorf("MinRequests: %d is below 1", c.MinRequests)
	}
	return nil
}
