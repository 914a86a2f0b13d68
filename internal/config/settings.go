package config

import (
	"fmt"

	"falldeal/admission"

	"github.com/valyala/fastjson"
)

// The values of the keys that select one of several modes. An absent key has the value of "".
var (
	haltNames = map[string]admission.Halt{
		"":      admission.HaltOff,
		"off":   admission.HaltOff,
		"drop":  admission.HaltDrop,
		"pause": admission.HaltPause,
	}
	dependencyNames = map[string]admission.Dependency{
		"":       admission.DependencyNone,
		"off":    admission.DependencyNone,
		"shared": admission.DependencyShared,
		"tier":   admission.DependencyTier,
	}
	idempotencyNames = map[string]admission.Idempotency{
		"":       admission.Safe,
		"safe":   admission.Safe,
		"keyed":  admission.IdempotentByKey,
		"unsafe": admission.Unsafe,
	}
	advertNames = map[string]admission.Advert{
		"":       admission.AdvertOff,
		"off":    admission.AdvertOff,
		"level":  admission.AdvertLevel,
		"credit": admission.AdvertCredit,
		"weight": admission.AdvertWeight,
	}
)

// Settings parses the JSON object with the settings of a controller. The configuration file and the simulator's messages
// contain it in the same form. Unknown keys are ignored. The error is a wrapped *configcheck.KeyError if a value is invalid.
func Settings(text []byte) (admission.Settings, error) {
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	root := newObject(value)
	settings := readSettings(root)
	if err := root.err(); err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}

// readSettings reads all settings. Invalid values are recorded in root.
func readSettings(root object) admission.Settings {
	family := root.object("FamilyInfo")
	invariants := root.object("Invariants")
	limits := root.object("Limits")
	mix := root.object("ResultMix")
	settings := admission.Settings{
		Cores:                 int(family.integer("Cpus")),
		FleetSize:             int(root.integer("FleetSize")),
		Clients:               int(family.integer("ClientsTotal")),
		MemoryKB:              family.number("MemoryKb"),
		RunningMemoryFactor:   family.number("Blowup"),
		KeyMemoryKB:           family.number("KbPerKey"),
		Halt:                  enum(family, "Halt", haltNames),
		Advert:                enum(family, "Advert", advertNames),
		Dependency:            enum(family, "Below", dependencyNames),
		MaxCallsInFlight:      family.number("CallsOut"),
		CallsWindow:           family.microseconds("CallsOverUs"),
		AbandonedCallTime:     family.microseconds("StaysForUs"),
		WarmingUp:             family.boolean("Cold"),
		SlowStartSpeedRatio:   invariants.number("ColdShare"),
		SlowStartTime:         invariants.microseconds("ColdUs"),
		MaxConcurrencyPerCore: invariants.number("FallMultiple"),
		ConcurrencyWindow:     invariants.microseconds("FallUs"),
		AnswerGrace:           invariants.microseconds("GraceToAnswerUs"),
		DrainGrace:            invariants.microseconds("StopSendingWithinUs"),
		CacheTTL:              family.microseconds("FreshForUs"),
		MaxRetryAfter:         limits.microseconds("MaxRetryAfterUs"),
		SendsRetryAfter:       limits.boolean("RetryAfter"),
		MarksRetries:          root.object("ClientHabits").boolean("MarksRetry"),
		IdleTimeout:           family.microseconds("IdleUs"),
		Tick:                  root.microseconds("TickUs"),
		ExcessValueRatio:      root.number("OverShareWorth"),
		WeightPerWork:         root.text("ValueBy") == "work",
	}
	checkIgnored(family, mix)
	var ok bool
	if settings.Classes, ok = readClasses(root, settings.Dependency); ok {
		settings.Tenants = readTenants(root)
	}
	return settings
}

// checkIgnored checks the types of keys that have no effect. A value of the wrong type is invalid for these too.
func checkIgnored(family, mix object) {
	for _, name := range []string{"TellsGone", "PassesDeadline", "ListFollows"} {
		family.boolean(name)
	}
	for _, name := range []string{"Whole", "WorstWindow", "WorstClass", "WorstTenant"} {
		mix.number(name)
	}
}

// readClasses reads the list of classes, and the two lists in FamilyInfo that hold a value for each class: CallsByClass and
// ClassSkipWorth. If CallsByClass is empty, all classes call the dependency. If ClassSkipWorth is empty, its values are 0. It
// returns false if there is no class or the lengths of the lists do not match.
func readClasses(root object, dependency admission.Dependency) (classes []admission.Class, ok bool) {
	family := root.object("FamilyInfo")
	list := root.objects("Lanes")
	calls := family.booleans("CallsByClass")
	degradedRatios := family.numbers("ClassSkipWorth")
	if len(list) == 0 {
		root.failf("Lanes", "want at least one class")
		return nil, false
	}
	for _, perClass := range []struct {
		key    string
		values int
	}{
		{"CallsByClass", len(calls)},
		{"ClassSkipWorth", len(degradedRatios)},
	} {
		if perClass.values != 0 && perClass.values != len(list) {
			family.failf(perClass.key, "%d values, want none or one for each of %d classes", perClass.values, len(list))
			return nil, false
		}
	}
	for i, item := range list {
		class := readClass(item)
		callsByDefault := len(calls) == 0
		class.CallsDependency = dependency != admission.DependencyNone && (callsByDefault || calls[i])
		if len(degradedRatios) > 0 {
			class.DegradedValueRatio = degradedRatios[i]
		}
		classes = append(classes, class)
	}
	return classes, true
}

func readClass(item object) admission.Class {
	return admission.Class{
		LatencyObjective:  item.microseconds("AimUs"),
		Deadline:          item.microseconds("DeadlineUs"),
		IdempotencyWindow: item.microseconds("KeyTtlUs"),
		Idempotency:       enum(item, "Idempotency", idempotencyNames),
		PriorityWeight:    item.number("Value"),
		LateValueRatio:    item.number("LateWorth"),
	}
}

func readTenants(root object) (tenants []admission.Tenant) {
	for _, item := range root.objects("Tenants") {
		item.number("Portion") // has no effect, but must be a number
		tenants = append(tenants, admission.Tenant{QuotaPerSecond: item.number("QuotaPerS")})
	}
	return tenants
}
