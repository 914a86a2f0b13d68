package decide

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
	case !(s.RunBlow >= 0) || !(s.KeyKB >= 0) || !(s.CallsOut >= 0):
		return fmt.Errorf("RunBlow, KeyKB, CallsOut: negative")
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"CallsOver", s.CallsOver}, {"CallLingers", s.CallLingers}, {"ColdFor", s.ColdFor}, {"CrowdOver", s.CrowdOver},
		{"AnswerGrace", s.AnswerGrace}, {"DrainGrace", s.DrainGrace}, {"FreshFor", s.FreshFor},
		{"MaxRetryAfter", s.MaxRetryAfter}, {"IdleAfter", s.IdleAfter}, {"Tick", s.Tick}} {
		if f.d < 0 {
			return fmt.Errorf("%s: negative time %v", f.name, f.d)
		}
	}
	for i, k := range s.Classes {
		if k.Aim <= 0 || k.Deadline <= 0 || k.KeyWindow < 0 {
			return fmt.Errorf("Classes[%d]: Aim %v, Deadline %v and KeyWindow %v must be positive", i, k.Aim,
				k.Deadline, k.KeyWindow)
		}
	}
	s.RunBlow = max(s.RunBlow, 1)
	s.CrowdPerCore = max(s.CrowdPerCore, 1)
	return nil
}
