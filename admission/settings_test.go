package admission

import (
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestInvalidSettings(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores": func(s *Settings) { s.Cores = 0 }, "Classes": func(s *Settings) { s.Classes = nil },
		"MemoryKB": func(s *Settings) { s.MemoryKB = 0 }, "ColdFor": func(s *Settings) { s.SlowStartTime = -1 },
		"Classes[1]": func(s *Settings) { s.Classes[1].LatencyObjective = 0 }, "Tick": func(s *Settings) { s.Tick = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1, 0); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// New settings leave running requests alone, and the memory in use is counted again by them.
func TestReconfigure(t *testing.T) {
	controller := start(t, testSettings())
	want(t, controller.Step(0, []Event{req(1, 1)}, nil), ActionRun, 1)
	settings := testSettings()
	settings.Classes[1].Removed = true
	settings.Classes = append(settings.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1})
	settings.RunningMemoryFactor, settings.KeyMemoryKB, settings.CallsWindow = 8, 20, time.Second
	if err := controller.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	if controller.memory.usedKB != 8*10+20 {
		t.Errorf("memory %v after new settings", controller.memory.usedKB)
	}
	want(t, controller.Step(100*ms, []Event{req(2, 4)}, nil), ActionRun, 2)
	controller.Step(200*ms, []Event{RunCompleted(1, Completion{Took: 200 * ms}), RunCompleted(2, Completion{Took: 100 * ms})}, nil)
	if controller.runs.running != 0 || controller.memory.usedKB != 20 {
		t.Errorf("%d runs and memory %v after all ended", controller.runs.running, controller.memory.usedKB)
	}
	if controller.Reconfigure(testSettings()) == nil {
		t.Error("a class of requests that may be in flight was left out")
	}
	settings.Cores = 0
	if controller.Reconfigure(settings) == nil || controller.settings.Cores == 0 {
		t.Error("settings that make no sense were taken over")
	}
}

func TestSettingsOfLargeFleetsAreServed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no fleet":            func(s *Settings) { s.FleetSize = 0 },
		"negative fleet":      func(s *Settings) { s.FleetSize = -5 },
		"huge fleet":          func(s *Settings) { s.FleetSize = math.MaxInt },
		"no clients":          func(s *Settings) { s.Clients, s.Advert = 0, AdvertCredit },
		"huge clients":        func(s *Settings) { s.Clients, s.Advert = math.MaxInt, AdvertCredit },
		"far below 1 call":    func(s *Settings) { s.MaxCallsInFlight = 1e-9 },
		"any number of calls": func(s *Settings) { s.MaxCallsInFlight = 0 },
		"one core":            func(s *Settings) { s.Cores = 1 },
		"no tenants":          func(s *Settings) { s.Tenants = nil },
		"no idle time":        func(s *Settings) { s.IdleTimeout = 0 },
		"no mean time":        func(s *Settings) { s.CallsWindow = 0 },
		"cold without time":   func(s *Settings) { s.WarmingUp, s.SlowStartTime, s.SlowStartSpeedRatio = true, 0, 0 },
	} {
		settings := testSettings()
		change(&settings)
		checkServes(t, name, settings)
	}
}

// checkServes has a controller decide on 400 requests and checks that it runs some and that its actions make sense.
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
		events := []Event{req(id, int(id)%4), TimerFired(unknownGauges)}
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

// endRuns ends the runs that have taken over 100 ms at now, in order, so that a failure repeats.
func endRuns(now time.Duration, startedAt map[RequestID]time.Duration) (events []Event) {
	for _, id := range slices.Sorted(maps.Keys(startedAt)) {
		if at := startedAt[id]; now > at+100*ms {
			events = append(events, RunCompleted(id, Completion{Took: now - at}))
			delete(startedAt, id)
		}
	}
	return events
}

// checkActions checks that no action has a figure that makes no sense, and that something was run.
func checkActions(t *testing.T, name string, actions []Action) {
	t.Helper()
	runs := 0
	for _, action := range actions {
		if math.IsNaN(action.Value) || math.IsInf(action.Value, 0) || action.Value < 0 ||
			action.Duration < 0 || action.Timeout < 0 || action.Rejection.RetryAfter < 0 {
			t.Errorf("%s: action %+v", name, action)
		}
		if action.Kind == ActionRun {
			runs++
		}
	}
	if runs == 0 {
		t.Errorf("%s: nothing was run", name)
	}
}

func TestInvalidCallLimitIsNamed(t *testing.T) {
	for _, v := range []float64{math.NaN(), -1} {
		s := testSettings()
		s.MaxCallsInFlight = v
		if _, err := New(s, 1, 0); err == nil || !strings.Contains(err.Error(), "CallsOut") {
			t.Errorf("CallsOut %v: error %v", v, err)
		}
	}
}
