package admission

import (
	"testing"
)

// A burst on a cold server must exceed neither its memory nor the concurrency that it can handle.
func TestMemoryAndSlowStartLimitsHold(t *testing.T) {
	settings := testSettings()
	settings.WarmingUp = true
	settings.MemoryKB = 300
	controller := startController(t, settings)
	for id := RequestID(1); id <= 300; id++ {
		controller.Step(0, []Event{arrived(id, 0)}, nil)
		if controller.memory.usedKB > settings.MemoryKB {
			t.Fatalf("%v kB in use of %v", controller.memory.usedKB, settings.MemoryKB)
		}
	}
	if limit := slowStartConcurrency(&settings); float64(controller.runs.running) > limit {
		t.Fatalf("%d runs, a cold server can handle %v", controller.runs.running, limit)
	}
}

// Runs that wait for calls may all return to the CPU at once, so they must count towards the concurrency
// limit.
func TestRunsAwaitingCallsCountAsConcurrency(t *testing.T) {
	settings := testSettings()
	settings.WarmingUp = true
	settings.MemoryKB = 1e6
	settings.MaxCallsInFlight = 0
	settings.Dependency = DependencyTier
	controller := startController(t, settings)
	for id := RequestID(1); id <= 60; id++ {
		actions := controller.Step(0, []Event{arrived(id, 0)}, nil)
		if findAction(actions, ActionRun, id) != nil {
			controller.Step(0, []Event{CallNeeded(id)}, nil)
		}
	}
	limit := slowStartConcurrency(&settings)
	if controller.runs.running == 0 || float64(controller.runs.running) > limit {
		t.Errorf("%d runs, including those in calls, want 1 to the %v that a cold server can handle", controller.runs.running, limit)
	}
}

// slowStartConcurrency returns the number of runs on the CPU that a server can handle at the beginning of its
// slow start.
func slowStartConcurrency(settings *Settings) float64 {
	perCore := 1 + (settings.MaxConcurrencyPerCore-1)*settings.SlowStartSpeedRatio
	return float64(settings.Cores) * perCore
}
