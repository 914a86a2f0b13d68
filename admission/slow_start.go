package admission

import "time"

// minSlowStartSpeed is the lower bound of assumedInitialRatio.
const minSlowStartSpeed = 0.1

// slowStart models the speed of a server that has just started. The speed rises linearly from a fraction of
// the full speed to the full speed.
type slowStart struct {
	warmingUp    bool          // the server started cold
	initialRatio float64       // fraction of the full speed at the start
	duration     time.Duration // time until the server has its full speed
	startedAt    time.Duration // when the server started
}

// configure applies the slow-start settings. Whether a server started cold never changes.
func (s *slowStart) configure(settings *Settings) {
	s.warmingUp = settings.WarmingUp
	s.initialRatio = settings.SlowStartSpeedRatio
	s.duration = settings.SlowStartTime
}

// speedRatio returns the fraction of its full speed that the server has at now, from initialRatio to 1.
func (s *slowStart) speedRatio(now time.Duration) float64 {
	age := now - s.startedAt
	if !s.warmingUp || age >= s.duration {
		return 1
	}
	return s.initialRatio + (1-s.initialRatio)*float64(age)/float64(s.duration)
}

// assumedInitialRatio returns the fraction of the full speed that estimates start with, before any run was
// measured.
func (s *slowStart) assumedInitialRatio() float64 {
	if !s.warmingUp {
		return 1
	}
	return max(s.initialRatio, minSlowStartSpeed)
}
