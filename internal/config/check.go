package config

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/configcheck"
)

// Smallest limits that a server can work with.
const (
	minMemoryMB        = 32
	minFileDescriptors = 64
)

// check reports values that no image server can run with. The controller accepts the rest.
func (c *Config) check(root object) {
	c.checkLimits(root)
	c.checkAddresses(root)
	settings := root.object("settings")
	c.checkResources(settings.object("FamilyInfo"))
	c.checkTimes(settings)
	c.checkClasses(settings.objects("Lanes"))
}

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

func (c *Config) checkResources(family object) {
	settings := &c.Settings
	switch {
	case settings.Cores < 1:
		family.failf("Cpus", "%d, want at least 1", settings.Cores)
	case !(settings.MemoryKB > 0):
		family.failf("MemoryKb", "%v, want more than 0", settings.MemoryKB)
	case settings.RunningMemoryFactor < 0:
		family.failf("Blowup", "negative")
	case settings.KeyMemoryKB < 0:
		family.failf("KbPerKey", "negative")
	case settings.MaxCallsInFlight < 0:
		family.failf("CallsOut", "negative")
	}
}

func (c *Config) checkTimes(root object) {
	family := root.object("FamilyInfo")
	invariants := root.object("Invariants")
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
		{root.object("Limits"), "MaxRetryAfterUs", settings.MaxRetryAfter},
		{root, "TickUs", settings.Tick},
	} {
		if duration.value < 0 {
			duration.parent.failf(duration.key, "negative time %v", duration.value)
		}
	}
}

func (c *Config) checkClasses(classes []object) {
	used := map[string]bool{}
	for i, class := range classes {
		if i >= len(c.Settings.Classes) {
			return // an earlier key of the list was at fault
		}
		name := c.Classes[i]
		settings := c.Settings.Classes[i]
		switch {
		case name == "":
			class.fail("Name", configcheck.ErrMissing)
		case used[name]:
			class.failf("Name", "%q is used twice", name)
		case settings.LatencyObjective <= 0:
			class.failf("AimUs", "want more than 0")
		case settings.Deadline <= 0:
			class.failf("DeadlineUs", "want more than 0")
		case settings.IdempotencyWindow < 0:
			class.failf("KeyTtlUs", "negative time %v", settings.IdempotencyWindow)
		}
		used[name] = true
	}
}
