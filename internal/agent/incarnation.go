package agent

import "time"

// ageTolerance is what an agent's age may lack, where two handshakes report it, though it is the same agent.
const ageTolerance = time.Second

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
	return age >= expected/2-ageTolerance
}
