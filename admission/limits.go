package admission

// Limits that keep a server alive, and quotas of tenants.
const (
	safeMemoryRatio      = 0.92 // of the memory; the rest is for requests that are being read; ours
	safeConcurrencyRatio = 0.8  // of the concurrency survived, calls in flight included; ours
)

func (c *Controller) memoryLimit() float64 { return safeMemoryRatio * c.settings.MemoryKB }

// concurrencyLimit bounds all runs, those that wait for calls included: they may all return to the CPU at
// once.
func (c *Controller) concurrencyLimit() float64 {
	speed, initial := 1.0, c.settings.SlowStartSpeedRatio
	if age := c.now - c.startedAt; c.settings.WarmingUp && age < c.settings.SlowStartTime {
		speed = initial + (1-initial)*float64(age)/float64(c.settings.SlowStartTime)
	}
	perCore := 1 + (c.settings.MaxConcurrencyPerCore-1)*speed
	return max(1, safeConcurrencyRatio*float64(c.settings.Cores)*perCore)
}

// weighTenants sets how much of its value a request of each tenant keeps: traffic over a quota counts little.
func (c *Controller) weighTenants() {
	for i := range c.tenants {
		tenant := &c.tenants[i]
		tenant.offered.DecayTo(c.now)
		rate := tenant.offered.First / offeredTimeConstant.Seconds()
		tenant.valueFactor = 1
		if i < len(c.settings.Tenants) && c.settings.Tenants[i].QuotaPerSecond > 0 {
			quota := c.settings.Tenants[i].QuotaPerSecond / float64(max(c.settings.FleetSize, 1))
			tenant.valueFactor = min(1, max(quota/max(rate, 1e-9), c.settings.ExcessValueRatio))
		}
	}
}
