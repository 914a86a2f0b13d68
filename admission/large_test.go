package admission

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Settings and traffic that large fleets of small servers bring; none needs the bench.

func TestSettingsOfLargeFleetsAreServed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no fleet":          func(s *Settings) { s.FleetSize = 0 },
		"negative fleet":    func(s *Settings) { s.FleetSize = -5 },
		"huge fleet":        func(s *Settings) { s.FleetSize = math.MaxInt },
		"no callers":        func(s *Settings) { s.Clients, s.Advert = 0, AdvertCredit },
		"huge callers":      func(s *Settings) { s.Clients, s.Advert = math.MaxInt, AdvertCredit },
		"share far below 1": func(s *Settings) { s.MaxCallsInFlight = 1e-9 },
		"no share":          func(s *Settings) { s.MaxCallsInFlight = 0 },
		"one core":          func(s *Settings) { s.Cores = 1 },
		"no tenants":        func(s *Settings) { s.Tenants = nil },
		"no idle time":      func(s *Settings) { s.IdleTimeout = 0 },
		"no mean time":      func(s *Settings) { s.CallsWindow = 0 },
		"cold without time": func(s *Settings) { s.WarmingUp, s.SlowStartTime, s.SlowStartSpeedRatio = true, 0, 0 },
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
		event := req(id, int(id)%4)
		event.Client = int(id)
		events := []Event{event, {Kind: EventTimer, Gauges: Gauges{-1, -1, -1, -1}}}
		for other := RequestID(1); other < id; other++ { // in order, so that a failure repeats
			if at, ok := startedAt[other]; ok && now > at+100*ms {
				events = append(events, Event{Kind: EventDone, ID: other, Took: now - at})
				delete(startedAt, other)
			}
		}
		before := len(actions)
		actions = controller.Step(now, events, actions)
		for _, action := range actions[before:] {
			if action.Kind == ActionRun {
				startedAt[action.ID] = now
			}
		}
	}
	runs := 0
	for _, action := range actions {
		if math.IsNaN(action.Value) || math.IsInf(action.Value, 0) || action.Value < 0 ||
			action.Duration < 0 || action.Timeout < 0 || action.RetryAfter < 0 {
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

func TestSharesThatAreNoNumbersAreNamed(t *testing.T) {
	for _, v := range []float64{math.NaN(), -1} {
		s := testSettings()
		s.MaxCallsInFlight = v
		if _, err := New(s, 1, 0); err == nil || !strings.Contains(err.Error(), "CallsOut") {
			t.Errorf("CallsOut %v: error %v", v, err)
		}
	}
}

// What a server keeps must not grow with the callers, subjects and keys that it meets over weeks.
func TestStateStaysBoundedOverManyCallersAndKeys(t *testing.T) {
	s := testSettings()
	s.Cores, s.MaxCallsInFlight = 2, 0.5
	controller := start(t, s)
	largest := 0
	var actions []Action
	for id := RequestID(1); id <= 100000; id++ {
		now := time.Duration(id) * 100 * ms
		e := req(id, int(id)%4)
		e.Client, e.HasSubject, e.Tenant, e.Retry = int(id), true, int(id)%9, id%7 == 0
		events := []Event{e}
		for _, a := range actions { // what ran in the last batch is done in this one
			if a.Kind == ActionRun {
				events = append(events, Event{Kind: EventDone, ID: a.ID, Took: 100 * ms})
			}
		}
		actions = controller.Step(now, events, actions[:0])
		size := len(controller.requests) + len(controller.keys) + len(controller.deadlines.items) + len(controller.callQueue.items)
		for i := range controller.classes {
			size += len(controller.classes[i].queue)
		}
		largest = max(largest, size)
	}
	if largest > 500 {
		t.Errorf("%d things kept at once for 10 requests a second", largest)
	}
}
