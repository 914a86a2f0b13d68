package admission

// Reconfigure replaces the settings while requests are in flight. Classes are identified by their index: those that
// there were keep theirs, and new ones follow. A server warms up once, at its start. It is called between two steps.
// On an error, a *SettingsError, the old settings stay.
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
	c.values.quotas.weigh(c.now)
}
