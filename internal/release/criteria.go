package release

import "fmt"

// Criteria bound the errors of a Judge. Rates and effects are between 0 and 1, both excluded.
type Criteria struct {
	FalseHaltRate float64 // chance to reject a version that is no worse, over a whole rollout with any number of looks
	FalsePassRate float64 // chance to pass a version that is worse by MinEffect, in each group
	MinEffect     float64 // by how much the error ratio must be higher to matter: 0.02 is two requests in a hundred
	MinRequests   int     // requests of the new version in each group before it can pass; at least 1
}

// check returns an error for criteria that bound nothing.
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
			return fmt.Errorf("%s: %v is not between 0 and 1", rate.field, rate.value)
		}
	}
	if c.MinRequests < 1 {
		return fmt.Errorf("MinRequests: %d is below 1", c.MinRequests)
	}
	return nil
}
