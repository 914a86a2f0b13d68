package config

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/configcheck"
)

// Minimum limits with which a server can work.
const (
	minMemoryMB        = 32
	minFileDescriptors = 64
)

// check records in root the first value with which no image server can run. The controller accepts all others.
func (c *Config) check(root object) {
	c.checkLimits(root)
	c.checkAddresses(root)
	settings := root.object("settings")
	c.checkResources(settings.object("FamilyInfo"))
	c.checkTimes(settings)
	c.checkClasses(settings.objects("Lanes"))
}

// checkLimits checks StopTimeout and Limits.
func (c *Config) checkLimits(root object) {
	limits := root.object("limits")
	switch {
	case c.StopTimeout <= 0 || c.StopTimeout > time.Hour:
		root.failf("stop_ms", "%v is not between 1 ms and an hour", c.StopTimeout)
	case !(c.Limits.Cores > 0):
		limits.failf("cores", "%v, want more than 0", c.Limits.Cores)
	case c.Limits.MemoryMB < minMemoryMB:
		limits.failf("memory_mb", "%d, want at least %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.FileDescriptors < minFileDescriptors:
		limits.failf("sockets", "%d, want at least %d", c.Limits.FileDescriptors, minFileDescriptors)
	}
}

// checkAddresses checks the name and the addresses. The store's address is required only if requests call a store.
func (c *Config) checkAddresses(root object) {
	if c.Name == "" {
		root.fail("name", configcheck.ErrMissing)
	}
	callsStore := c.Settings.Dependency != admission.DependencyNone
	for _, address := range []struct {
		key, value string
		required   bool
		check      func(string) error
	}{
		{"listen", c.Listen, true, configcheck.ListenAddress},
		{"agent", c.Agent, true, configcheck.Address},
		{"store", c.Store, callsStore, configcheck.Address},
		{"announce", c.Announce, true, configcheck.Address},
		{"console", c.Console, false, configcheck.ListenAddress},
	} {
		if address.value == "" {
			if address.required {
				root.fail(address.key, configcheck.ErrMissing)
			}
		} else if err := address.check(address.value); err != nil {
			root.fail(address.key, err)
		}
	}
}

// checkResources checks the settings of cores, memory and calls.
func (c *Config) checkResources(family object) {
	settings := &c.Settings
	switch {
	case settings.Cores < 1:
		family.failf("Cpus", "%d, want at least 1", settings.Cores)
	case !(settings.MemoryKB > 0):
		family.failf("MemoryKb", "%v, want more than 0", settings.MemoryKB)
	case settings.RunningMemoryFactor < 0:
		family.failf("Blowup", "%v, want at least 0", settings.RunningMemoryFactor)
	case settings.KeyMemoryKB < 0:
		family.failf("KbPerKey", "%v, want at least 0", settings.KeyMemoryKB)
	case settings.MaxCallsInFlight < 0:
		family.failf("CallsOut", "%v, want at least 0", settings.MaxCallsInFlight)
	}
}

// checkTimes checks that no duration in section, the object settings, is negative. checkClasses checks those of classes.
func (c *Config) checkTimes(section object) {
	family := section.object("FamilyInfo")
	invariants := section.object("Invariants")
	settings := &c.Settings
	for _, duration := range []struct {
		parent object
		key    string
		value  time.Duration
	}{
		{family, "CallsOverUs", settings.CallsWindow},
		{family, "StaysForUs", settings.AbandonedCallTime},
		{family, "FreshForUs", settings.CacheTTL},
		{family, "IdleUs", settings.IdleTimeout},
		{invariants, "ColdUs", settings.SlowStartTime},
		{invariants, "FallUs", settings.ConcurrencyWindow},
		{invariants, "GraceToAnswerUs", settings.AnswerGrace},
		{invariants, "StopSendingWithinUs", settings.DrainGrace},
		{section.object("Limits"), "MaxRetryAfterUs", settings.MaxRetryAfter},
		{section, "TickUs", settings.Tick},
	} {
		if duration.value < 0 {
			duration.parent.failf(duration.key, "%v, want at least 0s", duration.value)
		}
	}
}

// checkClasses checks the names and durations of the classes.
func (c *Config) checkClasses(classes []object) {
	used := map[string]bool{}
	for i, class := range classes {
		if i >= len(c.Settings.Classes) {
			return // an invalid list of classes was recorded before
		}
		name := c.Classes[i]
		settings := c.Settings.Classes[i]
		switch {
		case name == "":
			class.fail("Name", configcheck.ErrMissing)
		case used[name]:
			class.failf("Name", "%q is the name of an earlier class", name)
		case settings.LatencyObjective <= 0:
			class.failf("AimUs", "%v, want more than 0s", settings.LatencyObjective)
		case settings.Deadline <= 0:
			class.failf("DeadlineUs", "%v, want more than 0s", settings.Deadline)
		case settings.IdempotencyWindow < 0:
			class.failf("KeyTtlUs", "%v, want at least 0s", settings.IdempotencyWindow)
		}
		used[name] = true
	}
}
