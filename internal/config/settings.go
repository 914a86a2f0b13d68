package config

import (
	"fmt"

	"falldeal/admission"

	"github.com/valyala/fastjson"
)

var (
	haltNames        = map[string]admission.Halt{"": admission.HaltOff, "off": admission.HaltOff, "drop": admission.HaltDrop, "pause": admission.HaltPause}
	dependencyNames  = map[string]admission.Dependency{"": admission.DependencyNone, "off": admission.DependencyNone, "shared": admission.DependencyShared, "tier": admission.DependencyTier}
	idempotencyNames = map[string]admission.Idempotency{"": admission.Safe, "safe": admission.Safe, "keyed": admission.IdempotentByKey, "unsafe": admission.Unsafe}
	advertNames      = map[string]admission.Advert{"": admission.AdvertOff, "off": admission.AdvertOff, "level": admission.AdvertLevel,
		"credit": admission.AdvertCredit, "weight": admission.AdvertWeight}
)

// Settings reads the settings object that a controller starts from, as both the simulator and the
// configuration carry it. Unknown keys are ignored.
func Settings(text []byte) (admission.Settings, error) {
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	parsed := readSettings(object{value: value, err: &err})
	if err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return parsed, nil
}

func readSettings(root object) admission.Settings {
	family, invariants, limits, mix := root.object("FamilyInfo"), root.object("Invariants"), root.object("Limits"), root.object("ResultMix")
	parsed := admission.Settings{
		Cores: int(family.integer("Cpus")), FleetSize: int(root.integer("FleetSize")), Clients: int(family.integer("ClientsTotal")),
		MemoryKB: family.number("MemoryKb"), RunningMemoryFactor: family.number("Blowup"), KeyMemoryKB: family.number("KbPerKey"),
		Halt: enum(family, "Halt", haltNames), Advert: enum(family, "Advert", advertNames), Dependency: enum(family, "Below", dependencyNames),
		MaxCallsInFlight: family.number("CallsOut"), CallsWindow: family.microseconds("CallsOverUs"), AbandonedCallTime: family.microseconds("StaysForUs"),
		WarmingUp: family.boolean("Cold"), SlowStartSpeedRatio: invariants.number("ColdShare"), SlowStartTime: invariants.microseconds("ColdUs"),
		MaxConcurrencyPerCore: invariants.number("FallMultiple"), ConcurrencyWindow: invariants.microseconds("FallUs"),
		AnswerGrace: invariants.microseconds("GraceToAnswerUs"), DrainGrace: invariants.microseconds("StopSendingWithinUs"),
		CacheTTL: family.microseconds("FreshForUs"), MaxRetryAfter: limits.microseconds("MaxRetryAfterUs"), SendsRetryAfter: limits.boolean("RetryAfter"),
		SendsCancellations: family.boolean("TellsGone"), SendsDeadlines: family.boolean("PassesDeadline"),
		MarksRetries: root.object("ClientHabits").boolean("MarksRetry"), RegistryFollowsHealth: family.boolean("ListFollows"),
		IdleTimeout: family.microseconds("IdleUs"), Tick: root.microseconds("TickUs"), OverQuotaValueRatio: root.number("OverShareWorth"), WeightPerWork: root.text("ValueBy") == "work",
		Weights: admission.Weights{WholeRun: mix.number("Whole"), WorstWindow: mix.number("WorstWindow"),
			WorstClass: mix.number("WorstClass"), WorstTenant: mix.number("WorstTenant")},
	}
	classes, calls, skips := root.objects("Lanes"), family.booleans("CallsByClass"), family.numbers("ClassSkipWorth")
	if len(classes) == 0 {
		root.fail("Lanes", "no classes")
		return parsed
	}
	if n := len(calls); n != 0 && n != len(classes) {
		family.fail("CallsByClass", "%d values for %d classes", n, len(classes))
		return parsed
	}
	if n := len(skips); n != 0 && n != len(classes) {
		family.fail("ClassSkipWorth", "%d values for %d classes", n, len(classes))
		return parsed
	}
	for i, class := range classes {
		class := admission.Class{LatencyObjective: class.microseconds("AimUs"), Deadline: class.microseconds("DeadlineUs"), IdempotencyWindow: class.microseconds("KeyTtlUs"),
			Idempotency:    enum(class, "Idempotency", idempotencyNames),
			PriorityWeight: class.number("Value"), LateValueRatio: class.number("LateWorth"), CallsDependency: parsed.Dependency != admission.DependencyNone}
		if len(calls) > 0 {
			class.CallsDependency = class.CallsDependency && calls[i]
		}
		if len(skips) > 0 {
			class.DegradedValueRatio = skips[i]
		}
		parsed.Classes = append(parsed.Classes, class)
	}
	for _, tenant := range root.objects("Tenants") {
		parsed.Tenants = append(parsed.Tenants, admission.Tenant{ServiceRatio: tenant.number("Portion"), QuotaPerSecond: tenant.number("QuotaPerS")})
	}
	return parsed
}
