package config

import (
	"fmt"

	"falldeal/admission"

	"github.com/valyala/fastjson"
)

var (
	halts    = map[string]admission.Halt{"": admission.HaltOff, "off": admission.HaltOff, "drop": admission.HaltDrop, "pause": admission.HaltPause}
	belows   = map[string]admission.Dependency{"": admission.DependencyNone, "off": admission.DependencyNone, "shared": admission.DependencyShared, "tier": admission.DependencyTier}
	safeties = map[string]admission.Idempotency{"": admission.Safe, "safe": admission.Safe, "keyed": admission.IdempotentByKey, "unsafe": admission.Unsafe}
	adverts  = map[string]admission.Advert{"": admission.AdvertOff, "off": admission.AdvertOff, "level": admission.AdvertLevel,
		"credit": admission.AdvertCredit, "weight": admission.AdvertWeight}
)

// Settings reads the settings object that a controller starts from, as both the simulator and the
// configuration carry it. Unknown keys are ignored.
func Settings(text []byte) (admission.Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := settings(object{value: v, err: &err})
	if err != nil {
		return admission.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func settings(o object) admission.Settings {
	f, inv, limits, mix := o.object("FamilyInfo"), o.object("Invariants"), o.object("Limits"), o.object("ResultMix")
	s := admission.Settings{
		Cores: int(f.whole("Cpus")), FleetSize: int(o.whole("FleetSize")), Clients: int(f.whole("ClientsTotal")),
		MemoryKB: f.number("MemoryKb"), RunningMemoryFactor: f.number("Blowup"), KeyMemoryKB: f.number("KbPerKey"),
		Halt: named(f, "Halt", halts), Advert: named(f, "Advert", adverts), Dependency: named(f, "Below", belows),
		MaxCallsInFlight: f.number("CallsOut"), CallsWindow: f.us("CallsOverUs"), AbandonedCallTime: f.us("StaysForUs"),
		WarmingUp: f.flag("Cold"), SlowStartSpeedRatio: inv.number("ColdShare"), SlowStartTime: inv.us("ColdUs"),
		MaxConcurrencyPerCore: inv.number("FallMultiple"), ConcurrencyWindow: inv.us("FallUs"),
		AnswerGrace: inv.us("GraceToAnswerUs"), DrainGrace: inv.us("StopSendingWithinUs"),
		CacheTTL: f.us("FreshForUs"), MaxRetryAfter: limits.us("MaxRetryAfterUs"), SendsRetryAfter: limits.flag("RetryAfter"),
		SendsCancellations: f.flag("TellsGone"), SendsDeadlines: f.flag("PassesDeadline"),
		MarksRetries: o.object("ClientHabits").flag("MarksRetry"), RegistryFollowsHealth: f.flag("ListFollows"),
		IdleTimeout: f.us("IdleUs"), Tick: o.us("TickUs"), OverQuotaValueRatio: o.number("OverShareWorth"), WeightPerWork: o.text("ValueBy") == "work",
		Weights: admission.Weights{WholeRun: mix.number("Whole"), WorstWindow: mix.number("WorstWindow"),
			WorstClass: mix.number("WorstClass"), WorstTenant: mix.number("WorstTenant")},
	}
	lanes, calls, skips := o.objects("Lanes"), f.flags("CallsByClass"), f.numbers("ClassSkipWorth")
	if len(lanes) == 0 {
		o.fail("Lanes", "no classes")
		return s
	}
	if n := len(calls); n != 0 && n != len(lanes) {
		f.fail("CallsByClass", "%d values for %d classes", n, len(lanes))
		return s
	}
	if n := len(skips); n != 0 && n != len(lanes) {
		f.fail("ClassSkipWorth", "%d values for %d classes", n, len(lanes))
		return s
	}
	for i, l := range lanes {
		k := admission.Class{LatencyObjective: l.us("AimUs"), Deadline: l.us("DeadlineUs"), IdempotencyWindow: l.us("KeyTtlUs"),
			Idempotency:    named(l, "Idempotency", safeties),
			PriorityWeight: l.number("Value"), LateValueRatio: l.number("LateWorth"), CallsDependency: s.Dependency != admission.DependencyNone}
		if len(calls) > 0 {
			k.CallsDependency = k.CallsDependency && calls[i]
		}
		if len(skips) > 0 {
			k.DegradedValueRatio = skips[i]
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range o.objects("Tenants") {
		s.Tenants = append(s.Tenants, admission.Tenant{ServiceRatio: t.number("Portion"), QuotaPerSecond: t.number("QuotaPerS")})
	}
	return s
}
