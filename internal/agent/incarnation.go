package agent

import "time"

const (
	// ageTolerance is what an agent's age may lack, where two handshakes report it, though it is the same agent.
	ageTolerance = time.Second
	// minAgeDivisor: an agent whose age is at least one part in this many of what is expected counts as the same one. Half
	// leaves room for an agent's clock that runs much slower than this one, or stands still for a while; an agent that
	// was restarted reports an age of a few moments.
	minAgeDivisor = 2
)

// incarnation identifies a start of the agent by its age at a known time. The zero value is of no known start.
type incarnation struct {
	observedAt time.Time
	age        time.Duration // then
}

func newIncarnation(age time.Duration) incarnation {
	return incarnation{observedAt: time.Now(), age: age}
}

func (i incarnation) isKnown() bool { return !i.observedAt.IsZero() }

// matches reports whether an agent of that age may be of this start: one that was restarted since is much younger than
// this one would be by now.
func (i incarnation) matches(age time.Duration) bool {
	expected := i.age + time.Since(i.observedAt)
	return age >= expected/minAgeDivisor-ageTolerance
}
