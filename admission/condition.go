package admission

// Condition is a state of a server whose beginning and end are logged for operators.
type Condition uint8

// The kinds of Condition.
const (
	ConditionBreaker   Condition = iota // the circuit breaker drops calls to the dependency
	ConditionCallLimit                  // the limit on calls in flight is at its minimum
	ConditionAdmission                  // the admit probability is reduced
	ConditionMemory                     // the memory limit is exceeded, and requests are rejected
	ConditionHealth                     // the server is reported unhealthy because of its read delay
	ConditionDrain                      // the process drains; its end is not reported
	conditionCount
)

// ConditionChange is the beginning or the end of a Condition.
type ConditionChange struct {
	Condition Condition
	Active    bool // true if the condition begins

	// Value is the measurement behind the condition at the time of the change. Its meaning and unit depend on
	// the condition:
	//
	//	ConditionBreaker    probability with which a call is dropped
	//	ConditionCallLimit  limit on the calls in flight
	//	ConditionAdmission  probability with which a request is admitted while all cores are busy
	//	ConditionMemory     memory in use, in kB
	//	ConditionHealth     mean read delay, in seconds
	//	ConditionDrain      none: 0
	Value float64
}

// String returns the log message of the condition.
func (c Condition) String() string {
	return [...]string{"circuit breaker dropping calls", "call limit at minimum", "admit probability reduced",
		"memory limit reached, rejecting requests", "unhealthy: read delay over limit", "draining"}[c]
}

// String returns the change as a self-contained text, for logs without fields.
func (c ConditionChange) String() string {
	switch {
	case c.Condition == ConditionDrain:
		return c.Condition.String()
	case c.Active:
		return c.Condition.String() + ": begins"
	}
	return c.Condition.String() + ": ends"
}
