package admission

import "time"

// Reporting: log lines about changes of state, for the operators. Nothing is decided here.

const reportInterval = 5 * time.Second // least time between two log lines about one condition; ours

// conditionState is what was reported last of a condition, and when.
type conditionState struct {
	active     bool
	reportedAt time.Duration
}

func (c *Controller) reportConditions() {
	c.reportCondition(ConditionBreaker, c.dropProbability() > 0)
	c.reportCondition(ConditionCallLimit, c.callLimitRatio <= minCallLimitRatio)
	c.reportCondition(ConditionAdmission, c.admitProbability <= admitDecrease)
	c.reportCondition(ConditionMemory, c.memoryKB > c.memoryLimit())
	c.reportCondition(ConditionHealth, c.unhealthy)
}

// reportCondition logs that a condition begins or ends, once per reportInterval at most.
func (c *Controller) reportCondition(condition Condition, active bool) {
	last := &c.conditions[condition]
	if active == last.active || c.now < last.reportedAt+reportInterval && last.reportedAt > 0 {
		return
	}
	last.active, last.reportedAt = active, max(c.now, 1)
	c.emit(Action{Kind: ActionLog, Condition: ConditionChange{condition, active}})
}
