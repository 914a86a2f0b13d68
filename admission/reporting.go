package admission

import "time"

// Reporting: log lines about changes of state, for the operators. Nothing is decided here.

const reportInterval = 5 * time.Second // least time between two log lines about one condition; ours

// The conditions that are reported.
const (
	conditionBreaker = iota
	conditionCallLimit
	conditionAdmission
	conditionMemory
	conditionHealth
	conditionCount
)

// condition is what was reported last of a condition, and when.
type condition struct {
	active     bool
	reportedAt time.Duration
}

func (c *Controller) reportConditions() {
	c.reportCondition(conditionBreaker, c.dropProbability() > 0, "breaker drops calls")
	c.reportCondition(conditionCallLimit, c.callLimitRatio <= minCallLimitRatio, "bound on calls at its least")
	c.reportCondition(conditionAdmission, c.admitProbability <= admitDecrease, "admitted share lowered")
	c.reportCondition(conditionMemory, c.memoryKB > c.memoryLimit(), "memory full, requests refused")
	c.reportCondition(conditionHealth, c.unhealthy, "unwell: requests wait long to be read")
}

// reportCondition logs that a condition begins or ends, once per reportInterval at most.
func (c *Controller) reportCondition(index int, active bool, text string) {
	last := &c.conditions[index]
	if active == last.active || c.now < last.reportedAt+reportInterval && last.reportedAt > 0 {
		return
	}
	last.active, last.reportedAt = active, max(c.now, 1)
	change := ": ends"
	if active {
		change = ": begins"
	}
	c.emit(Action{Kind: ActionLog, Text: text + change})
}
