package admission

// Reconfigure replaces the settings while requests are in flight. Classes are identified by their index:
// existing classes keep their index, and new ones are appended. WarmingUp keeps its value, as a server warms
// up only once, at its start. Reconfigure must be called between two steps. If the settings are invalid, it
// returns a *SettingsError and the old settings stay in effect.
func (c *Controller) Reconfigure(settings Settings) error {
	if err := settings.check(); err != nil {
		return err
	}
	if known := len(c.settings.Classes); len(settings.Classes) < known {
		return settingsError("Classes", "%d of %d left", len(settings.Classes), known)
	}
	settings.WarmingUp = c.settings.WarmingUp
	c.configure(settings)
	c.memory.recount(c.requests, c.keys.len())
	return nil
}

// configure passes settings to all parts.
func (c *Controller) configure(settings Settings) {
	c.settings = settings
	c.queue.grow(len(settings.Classes))
	c.runs.configure(&c.settings)
	c.calls.limiter.configure(c.now, &c.settings)
	c.calls.configure(&c.settings)
	c.estimator.configure(&c.settings)
	c.memory.configure(&c.settings)
	c.keys.configure(&c.settings)
	c.advisor.configure(&c.settings)
	c.drain.grace = settings.DrainGrace
	c.values.configure(&c.settings)
	c.values.quotas.updateValueFactors(c.now)
}
