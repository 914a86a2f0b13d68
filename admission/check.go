package admission

import (
	"fmt"
	"time"
)

// check names the first field with which no server can be served.
func (s *Settings) check() error {
	switch {
	case s.Cores <= 0:
		return fmt.Errorf("Cores: %d, want at least 1", s.Cores)
	case len(s.Classes) == 0:
		return fmt.Errorf("Classes: none")
	case !(s.MemoryKB > 0):
		return fmt.Errorf("MemoryKB: %v, want more than 0", s.MemoryKB)
	case !(s.RunningMemoryFactor >= 0) || !(s.KeyMemoryKB >= 0) || !(s.MaxCallsInFlight >= 0):
		return fmt.Errorf("RunBlow, KeyKB, CallsOut: negative")
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"CallsOver", s.CallsWindow}, {"CallLingers", s.AbandonedCallTime}, {"ColdFor", s.SlowStartTime}, {"CrowdOver", s.ConcurrencyWindow},
		{"AnswerGrace", s.AnswerGrace}, {"DrainGrace", s.DrainGrace}, {"FreshFor", s.CacheTTL},
		{"MaxRetryAfter", s.MaxRetryAfter}, {"IdleAfter", s.IdleTimeout}, {"Tick", s.Tick}} {
		if f.d < 0 {
			return fmt.Errorf("%s: negative time %v", f.name, f.d)
		}
	}
	for i, k := range s.Classes {
		if k.LatencyObjective <= 0 || k.Deadline <= 0 || k.IdempotencyWindow < 0 {
			return fmt.Errorf("Classes[%d]: Aim %v, Deadline %v and KeyWindow %v must be positive", i, k.LatencyObjective,
				k.Deadline, k.IdempotencyWindow)
		}
	}
	s.RunningMemoryFactor = max(s.RunningMemoryFactor, 1)
	s.MaxConcurrencyPerCore = max(s.MaxConcurrencyPerCore, 1)
	return nil
}
