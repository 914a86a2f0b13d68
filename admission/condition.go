package admission

// Condition is a state of a server whose begin and end are logged for operators.
type Condition uint8

// The kinds of Condition.
const (
	ConditionBreaker   Condition = iota // the circuit breaker drops calls to the dependency
	ConditionCallLimit                  // the limit on calls in flight is at its minimum
	ConditionAdmission                  // the admit probability is reduced
	ConditionMemory                     // the memory limit is reached, and requests are rejected
	ConditionHealth                     // the server is reported unhealthy
	ConditionDrain                      // the process drains; it has no end that is reported
	conditionCount
)

// ConditionChange is the begin or the end of a Condition.
type ConditionChange struct {
	Condition Condition
	Active    bool

	// Value is the measurement behind the condition when it changed. Its meaning and unit depend on the
	// condition:
	//
	//	ConditionBreaker    probability with which a call is dropped
	//	ConditionCallLimit  limit on the calls in flight
	//	ConditionAdmission  probability with which a request is admitted while all cores are busy
	//	ConditionMemory     memory in use, in kB
	//	ConditionHealth     mean delay before requests are read, in seconds
	//	ConditionDrain      none: 0
	Value float64
}

// String returns the message under which a condition is logged.
func (c Condition) String() string {
	return [...]string{"circuit breaker dropping calls", "call limit at minimum", "admit probability reduced",
		"memory limit reached, rejecting requests", "unhealthy: read delay over limit", "draining"}[c]
}

// String returns the change as a text of its own, for logs without fields.
func (c ConditionChange) String() string {
	switch {
	case c.Condition == ConditionDrain:
		return c.Condition.String()
	case c.Active:
		return c.Condition.String() + ": begins"
	}
	return c.Condition.String() + ": ends"
}
