package admission

import (
	"fmt"
	"time"
)

// SettingsError reports an invalid field of Settings.
//
// Its text is part of the simulator's protocol (cmd/simhost). The names of fields in the text are therefore
// fixed, and some differ from the Go names. The configuration file has its own keys, which internal/config
// validates first:
//
//	text          field                      key of the configuration file
//	Cores         Cores                      FamilyInfo.Cpus
//	MemoryKB      MemoryKB                   FamilyInfo.MemoryKb
//	RunBlow       RunningMemoryFactor        FamilyInfo.Blowup
//	KeyKB         KeyMemoryKB                FamilyInfo.KbPerKey
//	CallsOut      MaxCallsInFlight           FamilyInfo.CallsOut
//	CallsOver     CallsWindow                FamilyInfo.CallsOverUs
//	CallLingers   AbandonedCallTime          FamilyInfo.StaysForUs
//	ColdFor       SlowStartTime              Invariants.ColdUs
//	CrowdOver     ConcurrencyWindow          Invariants.FallUs
//	AnswerGrace   AnswerGrace                Invariants.GraceToAnswerUs
//	DrainGrace    DrainGrace                 Invariants.StopSendingWithinUs
//	FreshFor      CacheTTL                   FamilyInfo.FreshForUs
//	MaxRetryAfter MaxRetryAfter              Limits.MaxRetryAfterUs
//	IdleAfter     IdleTimeout                FamilyInfo.IdleUs
//	Tick          Tick                       TickUs
//	Classes       Classes                    Lanes
//	Aim           Class.LatencyObjective     Lanes.AimUs
//	Deadline      Class.Deadline             Lanes.DeadlineUs
//	KeyWindow     Class.IdempotencyWindow    Lanes.KeyTtlUs
type SettingsError struct {
	Field  string // name of the field in the text, see above
	Detail string // what is wrong with it
}

func (e *SettingsError) Error() string { return "settings: " + e.Field + ": " + e.Detail }

func settingsError(field, format string, args ...any) error {
	return &SettingsError{Field: field, Detail: fmt.Sprintf(format, args...)}
}

// check returns a *SettingsError for the first invalid field, and raises RunningMemoryFactor and
// MaxConcurrencyPerCore to their lower bound of 1.
func (s *Settings) check() error {
	for _, check := range []func() error{s.checkSizes, s.checkTimes, s.checkClasses} {
		if err := check(); err != nil {
			return err
		}
	}
	s.RunningMemoryFactor = max(s.RunningMemoryFactor, 1)
	s.MaxConcurrencyPerCore = max(s.MaxConcurrencyPerCore, 1)
	return nil
}

// checkSizes validates the fields that are not times. NaN is invalid.
func (s *Settings) checkSizes() error {
	switch {
	case s.Cores <= 0:
		return settingsError("Cores", "%d, want at least 1", s.Cores)
	case len(s.Classes) == 0:
		return settingsError("Classes", "none")
	case !(s.MemoryKB > 0):
		return settingsError("MemoryKB", "%v, want more than 0", s.MemoryKB)
	case !(s.RunningMemoryFactor >= 0) || !(s.KeyMemoryKB >= 0) || !(s.MaxCallsInFlight >= 0):
		return settingsError("RunBlow, KeyKB, CallsOut", "negative")
	}
	return nil
}

func (s *Settings) checkClasses() error {
	for i := range s.Classes {
		class := &s.Classes[i]
		if class.LatencyObjective <= 0 || class.Deadline <= 0 || class.IdempotencyWindow < 0 {
			return settingsError(fmt.Sprintf("Classes[%d]", i), "Aim %v, Deadline %v and KeyWindow %v must be positive",
				class.LatencyObjective, class.Deadline, class.IdempotencyWindow)
		}
	}
	return nil
}

// checkTimes returns an error for the first negative time.
func (s *Settings) checkTimes() error {
	for _, field := range []struct {
		name  string
		value time.Duration
	}{{"CallsOver", s.CallsWindow}, {"CallLingers", s.AbandonedCallTime}, {"ColdFor", s.SlowStartTime},
		{"CrowdOver", s.ConcurrencyWindow}, {"AnswerGrace", s.AnswerGrace}, {"DrainGrace", s.DrainGrace},
		{"FreshFor", s.CacheTTL}, {"MaxRetryAfter", s.MaxRetryAfter}, {"IdleAfter", s.IdleTimeout}, {"Tick", s.Tick}} {
		if field.value < 0 {
			return settingsError(field.name, "negative time %v", field.value)
		}
	}
	return nil
}
