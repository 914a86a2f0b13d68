package admission

import (
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// The error must name the invalid field, so that the configuration can be corrected.
func TestInvalidSettingsErrorNamesField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores": func(settings *Settings) { settings.Cores = 0 }, "Classes": func(settings *Settings) { settings.Classes = nil },
		"MemoryKB": func(settings *Settings) { settings.MemoryKB = 0 }, "ColdFor": func(settings *Settings) { settings.SlowStartTime = -1 },
		"Classes[1]": func(settings *Settings) { settings.Classes[1].LatencyObjective = 0 }, "Tick": func(settings *Settings) { settings.Tick = -1 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1, 0); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// New settings must not affect running requests, and memory must be recounted with the new sizes: otherwise
// the memory released for a request differs from the memory reserved for it. Invalid settings must change
// nothing.
func TestReconfigureKeepsRunsAndRecountsMemory(t *testing.T) {
	controller := startController(t, testSettings())
	requireAction(t, controller.Step(0, []Event{arrived(1, 1)}, nil), ActionRun, 1)
	settings := testSettings()
	settings.Classes[1].Removed = true
	settings.Classes = append(settings.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1})
	settings.RunningMemoryFactor = 8
	settings.KeyMemoryKB = 20
	settings.CallsWindow = time.Second
	if err := controller.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	if controller.memory.usedKB != 8*10+20 {
		t.Errorf("%v kB in use after Reconfigure", controller.memory.usedKB)
	}
	requireAction(t, controller.Step(100*ms, []Event{arrived(2, 4)}, nil), ActionRun, 2)
	controller.Step(200*ms, []Event{
		RunCompleted(1, Completion{Duration: 200 * ms}), RunCompleted(2, Completion{Duration: 100 * ms}),
	}, nil)
	if controller.runs.running != 0 || controller.memory.usedKB != 20 {
		t.Errorf("%d runs and %v kB in use after all runs have ended", controller.runs.running, controller.memory.usedKB)
	}
	if controller.Reconfigure(testSettings()) == nil {
		t.Error("settings without a known class were accepted")
	}
	settings.Cores = 0
	if controller.Reconfigure(settings) == nil || controller.settings.Cores == 0 {
		t.Error("invalid settings were accepted")
	}
}

// Extreme but valid settings must not cause a panic, a division by zero or NaN in an action, nor stop the
// server.
func TestExtremeSettingsAreServed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no fleet":         func(settings *Settings) { settings.FleetSize = 0 },
		"negative fleet":   func(settings *Settings) { settings.FleetSize = -5 },
		"huge fleet":       func(settings *Settings) { settings.FleetSize = math.MaxInt },
		"no clients":       func(settings *Settings) { settings.Clients, settings.Advert = 0, AdvertCredit },
		"huge clients":     func(settings *Settings) { settings.Clients, settings.Advert = math.MaxInt, AdvertCredit },
		"far below 1 call": func(settings *Settings) { settings.MaxCallsInFlight = 1e-9 },
		"unlimited calls":  func(settings *Settings) { settings.MaxCallsInFlight = 0 },
		"one core":         func(settings *Settings) { settings.Cores = 1 },
		"no tenants":       func(settings *Settings) { settings.Tenants = nil },
		"no idle timeout":  func(settings *Settings) { settings.IdleTimeout = 0 },
		"no calls window":  func(settings *Settings) { settings.CallsWindow = 0 },
		"slow start without duration": func(settings *Settings) {
			settings.WarmingUp = true
			settings.SlowStartTime = 0
			settings.SlowStartSpeedRatio = 0
		},
	} {
		settings := testSettings()
		change(&settings)
		checkServes(t, name, settings)
	}
}

// checkServes passes 400 requests to a controller and checks its actions with checkActions.
func checkServes(t *testing.T, name string, settings Settings) {
	t.Helper()
	controller, err := New(settings, 7, 0)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	actions := controller.Step(0, nil, nil)
	startedAt := map[RequestID]time.Duration{}
	for id := RequestID(1); id <= 400; id++ {
		now := time.Duration(id) * 50 * ms
		events := []Event{arrived(id, int(id)%4), TimerFired(UnknownGauges())}
		events = append(events, endRuns(now, startedAt)...)
		before := len(actions)
		actions = controller.Step(now, events, actions)
		for _, action := range actions[before:] {
			if action.Kind == ActionRun {
				startedAt[action.ID] = now
			}
		}
	}
	checkActions(t, name, actions)
}

// endRuns returns the ends of the runs that have lasted more than 100 ms at now, in order of ID, so that
// failures can be reproduced.
func endRuns(now time.Duration, startedAt map[RequestID]time.Duration) (events []Event) {
	for _, id := range slices.Sorted(maps.Keys(startedAt)) {
		if at := startedAt[id]; now > at+100*ms {
			events = append(events, RunCompleted(id, Completion{Duration: now - at}))
			delete(startedAt, id)
		}
	}
	return events
}

// checkActions checks that no action has a negative duration or an invalid value, and that at least one
// request ran.
func checkActions(t *testing.T, name string, actions []Action) {
	t.Helper()
	runs := 0
	for _, action := range actions {
		if math.IsNaN(action.Value) || math.IsInf(action.Value, 0) || action.Value < 0 ||
			action.Duration < 0 || action.Timeout < 0 || action.Rejection.RetryAfter < 0 {
			t.Errorf("%s: invalid value in action %+v", name, action)
		}
		if action.Kind == ActionRun {
			runs++
		}
	}
	if runs == 0 {
		t.Errorf("%s: no request ran", name)
	}
}

// NaN passes comparisons with "less than 0", so it must be rejected explicitly. The error names the field as
// the simulator's protocol does.
func TestInvalidCallLimitErrorNamesField(t *testing.T) {
	for _, limit := range []float64{math.NaN(), -1} {
		settings := testSettings()
		settings.MaxCallsInFlight = limit
		if _, err := New(settings, 1, 0); err == nil || !strings.Contains(err.Error(), "CallsOut") {
			t.Errorf("CallsOut %v: error %v", limit, err)
		}
	}
}
