package admission

import (
	"testing"
)

func TestMemoryAndConcurrencyLimits(t *testing.T) {
	settings := testSettings()
	settings.WarmingUp, settings.MemoryKB = true, 300
	controller := startController(t, settings)
	for id := RequestID(1); id <= 300; id++ {
		controller.Step(0, []Event{arrived(id, 0)}, nil)
		if controller.memory.usedKB > settings.MemoryKB {
			t.Fatalf("%v kB in use of %v", controller.memory.usedKB, settings.MemoryKB)
		}
	}
	if limit := float64(settings.Cores) * (1 + (settings.MaxConcurrencyPerCore-1)*settings.SlowStartSpeedRatio); float64(controller.runs.running) > limit {
		t.Fatalf("%d runs, a cold server survives %v", controller.runs.running, limit)
	}
}

func TestRunsAwaitingCallsCountAsConcurrency(t *testing.T) {
	settings := testSettings()
	settings.WarmingUp, settings.MemoryKB, settings.MaxCallsInFlight, settings.Dependency = true, 1e6, 0, DependencyTier
	controller := startController(t, settings)
	for id := RequestID(1); id <= 60; id++ {
		actions := controller.Step(0, []Event{arrived(id, 0)}, nil)
		if findAction(actions, ActionRun, id) != nil {
			controller.Step(0, []Event{CallNeeded(id)}, nil)
		}
	}
	if limit := float64(settings.Cores) * (1 + (settings.MaxConcurrencyPerCore-1)*settings.SlowStartSpeedRatio); controller.runs.running == 0 || float64(controller.runs.running) > limit {
		t.Errorf("%d runs might come back to the cores at once, a cold server survives %v", controller.runs.running, limit)
	}
}
