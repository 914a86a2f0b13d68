package admission

import "time"

// minSlowStartSpeed is the least part of its speed that is assumed of a server that has just started.
const minSlowStartSpeed = 0.1

// slowStart tells how fast a server is that has just been started: its speed rises in a straight line, from
// an initial part of it to all of it.
type slowStart struct {
	warmingUp    bool
	initialRatio float64 // of its speed, at the start
	duration     time.Duration
	startedAt    time.Duration
}

// configure takes over what settings say of the start. Whether a server warms up does not change later on.
func (s *slowStart) configure(settings *Settings) {
	s.warmingUp = settings.WarmingUp
	s.initialRatio = settings.SlowStartSpeedRatio
	s.duration = settings.SlowStartTime
}

// speedRatio is the part of its speed that the server has at now, from initialRatio to 1.
func (s *slowStart) speedRatio(now time.Duration) float64 {
	age := now - s.startedAt
	if !s.warmingUp || age >= s.duration {
		return 1
	}
	return s.initialRatio + (1-s.initialRatio)*float64(age)/float64(s.duration)
}

// assumedInitialRatio is the part of its speed that estimates begin with, before any run was measured.
func (s *slowStart) assumedInitialRatio() float64 {
	if !s.warmingUp {
		return 1
	}
	return max(s.initialRatio, minSlowStartSpeed)
}
