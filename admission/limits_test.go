package admission

import (
	"testing"
)

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
		t.Fatalf("%d runs, a cold server survives %v", controller.runs.running, limit)
	}
}

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
		t.Errorf("%d runs might come back to the cores at once, a cold server survives %v", controller.runs.running, limit)
	}
}

// slowStartConcurrency is how many requests on the CPU a server survives that has just started.
func slowStartConcurrency(settings *Settings) float64 {
	perCore := 1 + (settings.MaxConcurrencyPerCore-1)*settings.SlowStartSpeedRatio
	return float64(settings.Cores) * perCore
}
