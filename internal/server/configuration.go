package server

import (
	"fmt"
	"time"

	"falldeal/admission"
	"falldeal/internal/config"
)

// configuration is the current configuration, and what requests look up in it. The loop owns it.
type configuration struct {
	*config.Config                // replaced as a whole by a reload, never changed in place
	classes        map[string]int // indices of the accepted classes, by name
	tenants        map[string]int // indices of the tenants, by name
	maxTimeout     time.Duration  // longest deadline that a class has had
}

func newConfiguration(cfg *config.Config) configuration {
	configured := configuration{Config: cfg, classes: map[string]int{}, tenants: map[string]int{}}
	for i := range cfg.Classes {
		configured.addClass(i)
	}
	configured.indexTenants()
	configured.raiseMaxTimeout()
	return configured
}

// addClass accepts requests of the class with that index.
func (c *configuration) addClass(index int) { c.classes[c.Classes[index]] = index }

// removeClass has requests of the class with that index answered as invalid, unless the class was added again.
func (c *configuration) removeClass(index int) {
	if name := c.Classes[index]; c.Settings.Classes[index].Removed && c.classes[name] == index {
		delete(c.classes, name)
	}
}

// indexTenants indexes the tenants of the configuration. Front ends learn late of a new one: requests of a removed
// tenant count as those of the first.
func (c *configuration) indexTenants() {
	for name := range c.tenants {
		c.tenants[name] = 0
	}
	for i, name := range c.Tenants {
		c.tenants[name] = i
	}
}

// raiseMaxTimeout admits timeouts as long as the deadlines of the configuration. The limit never falls.
func (c *configuration) raiseMaxTimeout() {
	for _, class := range c.Settings.Classes {
		c.maxTimeout = max(c.maxTimeout, class.Deadline)
	}
}

// maxArrivalAge is how long ago a request may have arrived. It follows the longest deadline that a class has had, as
// front ends learn late of a new one.
func (c *configuration) maxArrivalAge() time.Duration { return c.maxTimeout + arrivalSlack }

// hasKeys reports whether requests of the class with that index carry idempotency keys.
func (c *configuration) hasKeys(class int) bool {
	return c.Settings.Classes[class].Idempotency == admission.IdempotentByKey
}

// classify returns the indices of the class and the tenant of an attempt; the error says what is wrong with it.
func (c *configuration) classify(attempt *Attempt) (class, tenant int, err error) {
	class, known := c.classes[attempt.Class]
	if !known {
		return 0, 0, fmt.Errorf("method: unknown class %.40q", attempt.Class)
	}
	tenant, known = c.tenants[attempt.Tenant]
	if !known && len(c.Tenants) > 0 && attempt.Tenant != "" {
		return 0, 0, errUnknownTenant
	}
	if c.hasKeys(class) && attempt.IdempotencyKey == "" {
		return 0, 0, errMissingIdempotencyKey
	}
	return class, tenant, nil
}

// longestIdempotencyWindow is the longest window of any class.
func (c *configuration) longestIdempotencyWindow() time.Duration {
	longest := time.Duration(0)
	for i, class := range c.Settings.Classes {
		if c.hasKeys(i) {
			longest = max(longest, class.IdempotencyWindow)
		}
	}
	return longest
}
