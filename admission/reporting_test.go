package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A condition that flips at every periodic decision must not flood the log.
func TestConditionChangeLogsAreRateLimited(t *testing.T) {
	controller := startController(t, testSettings())
	lines := map[string]int{}
	for i := range 200 { // 20 s; the state flips at each periodic decision
		now := time.Duration(i+1) * periodicInterval
		controller.calls.limiter.limitRatio = []float64{minCallLimitRatio, maxCallLimitRatio}[i%2]
		for _, action := range controller.Step(now, nil, nil) {
			if action.Kind == ActionLog {
				lines[action.Condition.String()]++
			}
		}
	}
	if n := lines["call limit at minimum: begins"]; n == 0 || n > 4 {
		t.Errorf("log lines in 20 s: %v, want 1 to 4 of the call limit", lines)
	}
	actions := controller.Step(21*time.Second, []Event{DrainStarted(DrainSignal{StopAt: 25 * time.Second})}, nil)
	if action := requireAction(t, actions, ActionLog, 0); action.Condition.String() != "draining" {
		t.Errorf("log line %q, want draining", action.Condition.String())
	}
}

// A change within reportInterval of the last report of the same condition must not be reported before the
// interval has passed. Other conditions are not affected.
func TestConditionReporterEnforcesReportInterval(t *testing.T) {
	var reporter conditionReporter
	require.False(t, reporter.changed(0, ConditionMemory, false))
	require.True(t, reporter.changed(0, ConditionMemory, true), "the first change, at time 0")
	require.False(t, reporter.changed(time.Second, ConditionMemory, false), "too soon")
	require.True(t, reporter.changed(time.Second, ConditionHealth, true), "another condition")
	require.False(t, reporter.changed(reportInterval+1, ConditionMemory, true), "unchanged")
	require.True(t, reporter.changed(reportInterval+1, ConditionMemory, false))
}

// Each change must carry the measurement of its own condition, in the documented unit.
func TestConditionChangesCarryMeasuredValues(t *testing.T) {
	controller := startController(t, testSettings())
	controller.SetProtectedCalls(-1)
	controller.calls.limiter.limitRatio = minCallLimitRatio
	controller.admitProbability.probability = admitDecrease
	controller.memory.usedKB = 3900
	controller.health.unhealthy = true
	controller.advisor.readDelay.observe(500 * time.Millisecond)
	controller.actions.pending = nil
	controller.reportConditions()
	var got []ConditionChange
	for _, action := range controller.actions.pending {
		got = append(got, action.Condition)
	}
	require.Equal(t, []ConditionChange{
		{Condition: ConditionBreaker, Active: true, Value: 1},
		{Condition: ConditionCallLimit, Active: true, Value: minCallLimitRatio * testSettings().MaxCallsInFlight},
		{Condition: ConditionAdmission, Active: true, Value: admitDecrease},
		{Condition: ConditionMemory, Active: true, Value: 3900},
		{Condition: ConditionHealth, Active: true, Value: 0.5},
	}, got)
}
