package agent

import "time"

const (
	// An agent counts as the same if it reports an age of at least expected age / minAgeDivisor - ageTolerance. A restarted
	// agent reports an age close to zero.
	//
	// One half of the expected age allows for an agent's clock that runs much slower than this one or stops for a while.
	minAgeDivisor = 2
	ageTolerance  = time.Second
)

// incarnation identifies one start of the agent by its age at a known time. The zero value is unknown.
type incarnation struct {
	observedAt time.Time
	age        time.Duration // of the agent at observedAt
}

func newIncarnation(age time.Duration) incarnation {
	return incarnation{observedAt: time.Now(), age: age}
}

func (i incarnation) isKnown() bool { return !i.observedAt.IsZero() }

// matches reports whether an agent of this age may be the same incarnation. A restarted agent is much younger than the age
// expected by now.
func (i incarnation) matches(age time.Duration) bool {
	expected := i.age + time.Since(i.observedAt)
	return age >= expected/minAgeDivisor-ageTolerance
}
