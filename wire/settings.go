package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"falldeal/decide"
)

type conf struct {
	FleetSize      int
	TickUs         int64
	OverShareWorth float64
	ValueBy        string
	ClientHabits   struct{ MarksRetry bool }
	FamilyInfo     struct {
		Advert, Below, Halt        string
		Blowup, CallsOut, KbPerKey float64
		MemoryKb                   float64
		CallsByClass               []bool
		ClassSkipWorth             []float64
		CallsOverUs, StaysForUs    int64
		FreshForUs, IdleUs         int64
		ClientsTotal, Cpus         int
		Cold, PassesDeadline       bool
		ListFollows, TellsGone     bool
	}
	Invariants struct {
		ColdShare, FallMultiple              float64
		ColdUs, FallUs                       int64
		GraceToAnswerUs, StopSendingWithinUs int64
	}
	Lanes []struct {
		AimUs, DeadlineUs, KeyTtlUs int64
		Idempotency                 string
		LateWorth, Value            float64
	}
	Limits struct {
		MaxRetryAfterUs int64
		RetryAfter      bool
	}
	ResultMix struct{ Whole, WorstClass, WorstTenant, WorstWindow float64 }
	Tenants   []struct{ Portion, QuotaPerS float64 }
}

var (
	halts    = map[string]decide.Halt{"": decide.HaltOff, "off": decide.HaltOff, "drop": decide.HaltDrop, "pause": decide.HaltPause}
	belows   = map[string]decide.Below{"": decide.BelowOff, "off": decide.BelowOff, "shared": decide.BelowShared, "tier": decide.BelowTier}
	safeties = map[string]decide.Safety{"": decide.Safe, "safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}
	adverts  = map[string]decide.Advert{"": decide.AdvertOff, "off": decide.AdvertOff, "level": decide.AdvertLevel,
		"credit": decide.AdvertCredit, "weight": decide.AdvertWeight}
)

func us(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

func named[T any](m map[string]T, field, v string, err *error) T {
	x, ok := m[v]
	if !ok && *err == nil {
		*err = fmt.Errorf("%s: unknown value %q", field, v)
	}
	return x
}

// Settings reads a node's settings. Unknown keys are ignored.
func Settings(text []byte) (decide.Settings, error) {
	var c conf
	if err := json.Unmarshal(text, &c); err != nil {
		return decide.Settings{}, fmt.Errorf("settings: %w", err)
	}
	f, inv := &c.FamilyInfo, &c.Invariants
	var err error
	s := decide.Settings{
		Cores: f.Cpus, FleetSize: c.FleetSize, Callers: f.ClientsTotal,
		MemoryKB: f.MemoryKb, RunBlow: f.Blowup, KeyKB: f.KbPerKey,
		Halt:     named(halts, "FamilyInfo.Halt", f.Halt, &err),
		Advert:   named(adverts, "FamilyInfo.Advert", f.Advert, &err),
		Below:    named(belows, "FamilyInfo.Below", f.Below, &err),
		CallsOut: f.CallsOut, CallsOver: us(f.CallsOverUs), CallLingers: us(f.StaysForUs),
		Cold: f.Cold, ColdShare: inv.ColdShare, ColdFor: us(inv.ColdUs),
		CrowdPerCore: inv.FallMultiple, CrowdOver: us(inv.FallUs),
		AnswerGrace: us(inv.GraceToAnswerUs), DrainGrace: us(inv.StopSendingWithinUs),
		FreshFor: us(f.FreshForUs), MaxRetryAfter: us(c.Limits.MaxRetryAfterUs), RetryAfter: c.Limits.RetryAfter,
		TellsGone: f.TellsGone, TellsDeadline: f.PassesDeadline, MarksRepeat: c.ClientHabits.MarksRetry,
		ListFollows: f.ListFollows, IdleAfter: us(f.IdleUs), Tick: us(c.TickUs), OverShare: c.OverShareWorth, ByWork: c.ValueBy == "work",
		Weights: decide.Weights{Whole: c.ResultMix.Whole, WorstWindow: c.ResultMix.WorstWindow,
			WorstClass: c.ResultMix.WorstClass, WorstTenant: c.ResultMix.WorstTenant},
	}
	if n := len(f.CallsByClass); n != 0 && n != len(c.Lanes) {
		return s, fmt.Errorf("FamilyInfo.CallsByClass: %d values for %d classes", n, len(c.Lanes))
	}
	if n := len(f.ClassSkipWorth); n != 0 && n != len(c.Lanes) {
		return s, fmt.Errorf("FamilyInfo.ClassSkipWorth: %d values for %d classes", n, len(c.Lanes))
	}
	for i, l := range c.Lanes {
		k := decide.Class{Aim: us(l.AimUs), Deadline: us(l.DeadlineUs), KeyWindow: us(l.KeyTtlUs),
			Safety: named(safeties, fmt.Sprintf("Lanes[%d].Idempotency", i), l.Idempotency, &err),
			Value:  l.Value, LateWorth: l.LateWorth, Calls: s.Below != decide.BelowOff}
		if len(f.CallsByClass) > 0 {
			k.Calls = k.Calls && f.CallsByClass[i]
		}
		if len(f.ClassSkipWorth) > 0 {
			k.SkipWorth = f.ClassSkipWorth[i]
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{Portion: t.Portion, QuotaPerS: t.QuotaPerS})
	}
	return s, err
}
