package server

import (
	"fmt"
	"time"

	"falldeal/admission"
	"falldeal/internal/config"
)

// configuration is the current configuration, with indices of the classes and tenants that requests name. The loop owns it.
type configuration struct {
	*config.Config                // replaced as a whole by a reload, never modified
	classes        map[string]int // index of each accepted class, by name
	tenants        map[string]int // index of each tenant, by name
	maxTimeout     time.Duration  // longest deadline that any class has had
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

// addClass accepts requests of the class with the given index.
func (c *configuration) addClass(index int) { c.classes[c.Classes[index]] = index }

// removeClass makes requests of the class with the given index invalid, unless the class was added again.
func (c *configuration) removeClass(index int) {
	if name := c.Classes[index]; c.Settings.Classes[index].Removed && c.classes[name] == index {
		delete(c.classes, name)
	}
}

// indexTenants indexes the tenants of the configuration. Front ends learn late of a new configuration, so requests of a
// removed tenant count as requests of the first one.
func (c *configuration) indexTenants() {
	for name := range c.tenants {
		c.tenants[name] = 0
	}
	for i, name := range c.Tenants {
		c.tenants[name] = i
	}
}

// raiseMaxTimeout raises maxTimeout to the longest deadline of the configuration. It never lowers it.
func (c *configuration) raiseMaxTimeout() {
	for _, class := range c.Settings.Classes {
		c.maxTimeout = max(c.maxTimeout, class.Deadline)
	}
}

// maxArrivalAge returns how long ago a request may have arrived. It depends on the longest deadline that any class has
// had, because front ends learn late of a new one.
func (c *configuration) maxArrivalAge() time.Duration { return c.maxTimeout + arrivalSlack }

// hasKeys reports whether requests of the class with the given index carry idempotency keys.
func (c *configuration) hasKeys(class int) bool {
	return c.Settings.Classes[class].Idempotency == admission.IdempotentByKey
}

// classify returns the indices of an attempt's class and tenant, or an error that says why the attempt is invalid.
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

// longestIdempotencyWindow returns the longest idempotency window of any class.
func (c *configuration) longestIdempotencyWindow() time.Duration {
	longest := time.Duration(0)
	for i, class := range c.Settings.Classes {
		if c.hasKeys(i) {
			longest = max(longest, class.IdempotencyWindow)
		}
	}
	return longest
}
