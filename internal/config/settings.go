package config

import (
	"fmt"

	"falldeal/decide"

	"github.com/valyala/fastjson"
)

var (
	halts    = map[string]decide.Halt{"": decide.HaltOff, "off": decide.HaltOff, "drop": decide.HaltDrop, "pause": decide.HaltPause}
	belows   = map[string]decide.Below{"": decide.BelowOff, "off": decide.BelowOff, "shared": decide.BelowShared, "tier": decide.BelowTier}
	safeties = map[string]decide.Safety{"": decide.Safe, "safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}
	adverts  = map[string]decide.Advert{"": decide.AdvertOff, "off": decide.AdvertOff, "level": decide.AdvertLevel,
		"credit": decide.AdvertCredit, "weight": decide.AdvertWeight}
)

// Settings reads the settings object that a controller starts from, as both the simulator and the
// configuration carry it. Unknown keys are ignored.
func Settings(text []byte) (decide.Settings, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return decide.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := settings(object{value: v, err: &err})
	if err != nil {
		return decide.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func settings(o object) decide.Settings {
	f, inv, limits, mix := o.object("FamilyInfo"), o.object("Invariants"), o.object("Limits"), o.object("ResultMix")
	s := decide.Settings{
		Cores: int(f.whole("Cpus")), FleetSize: int(o.whole("FleetSize")), Callers: int(f.whole("ClientsTotal")),
		MemoryKB: f.number("MemoryKb"), RunBlow: f.number("Blowup"), KeyKB: f.number("KbPerKey"),
		Halt: named(f, "Halt", halts), Advert: named(f, "Advert", adverts), Below: named(f, "Below", belows),
		CallsOut: f.number("CallsOut"), CallsOver: f.us("CallsOverUs"), CallLingers: f.us("StaysForUs"),
		Cold: f.flag("Cold"), ColdShare: inv.number("ColdShare"), ColdFor: inv.us("ColdUs"),
		CrowdPerCore: inv.number("FallMultiple"), CrowdOver: inv.us("FallUs"),
		AnswerGrace: inv.us("GraceToAnswerUs"), DrainGrace: inv.us("StopSendingWithinUs"),
		FreshFor: f.us("FreshForUs"), MaxRetryAfter: limits.us("MaxRetryAfterUs"), RetryAfter: limits.flag("RetryAfter"),
		TellsGone: f.flag("TellsGone"), TellsDeadline: f.flag("PassesDeadline"),
		MarksRepeat: o.object("ClientHabits").flag("MarksRetry"), ListFollows: f.flag("ListFollows"),
		IdleAfter: f.us("IdleUs"), Tick: o.us("TickUs"), OverShare: o.number("OverShareWorth"), ByWork: o.text("ValueBy") == "work",
		Weights: decide.Weights{Whole: mix.number("Whole"), WorstWindow: mix.number("WorstWindow"),
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
		k := decide.Class{Aim: l.us("AimUs"), Deadline: l.us("DeadlineUs"), KeyWindow: l.us("KeyTtlUs"),
			Safety: named(l, "Idempotency", safeties),
			Value:  l.number("Value"), LateWorth: l.number("LateWorth"), Calls: s.Below != decide.BelowOff}
		if len(calls) > 0 {
			k.Calls = k.Calls && calls[i]
		}
		if len(skips) > 0 {
			k.SkipWorth = skips[i]
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range o.objects("Tenants") {
		s.Tenants = append(s.Tenants, decide.Tenant{Portion: t.number("Portion"), QuotaPerS: t.number("QuotaPerS")})
	}
	return s
}
