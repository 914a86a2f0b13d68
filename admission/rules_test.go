package admission

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// playRandom passes random events to a controller, checks the invariants of randomServer after each step, and
// returns all actions. After step 1200 the server drains.
func playRandom(t *testing.T, variant settingsVariant, seed uint64) []Action {
	t.Helper()
	settings := variant.settings
	controller, err := New(settings, seed, 0)
	if err != nil {
		t.Fatal(err)
	}
	server := &randomServer{t: t, settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), attempts: map[RequestID]*attempt{},
		rememberedUntil: map[RequestID]time.Duration{}, runs: map[int]int{}, lastIdempotent: map[int]RequestID{}, sendsDeadlines: variant.sendsDeadlines}
	stopAt := time.Duration(0)
	for i := 0; i < 1500 && (stopAt == 0 || server.now < stopAt); i++ {
		server.now += time.Duration(1+server.rng.IntN(15)) * ms // timers fire late and batches vary in size
		events := server.drawEvents()
		if i == 1200 {
			server.drainStartedAt = server.now
			stopAt = server.now + 2500*ms
			events = append(events, DrainStarted(DrainSignal{StopAt: stopAt}))
		}
		if i%12 == 0 {
			gauges := Gauges{CPUUtilization: server.rng.Float64(), CPUDemand: 12 * server.rng.Float64()}
			events = append(events, TimerFired(gauges))
		}
		actions := controller.Step(server.now, events, nil)
		server.carryOut(actions)
		server.log = append(server.log, actions...)
		server.check()
	}
	for _, a := range server.attempts {
		if stopAt > 0 && server.now >= stopAt && !a.answered {
			t.Fatal("a request is not answered at the end of the drain")
		}
	}
	return server.log
}

// settingsVariant is a configuration of a random server.
type settingsVariant struct {
	settings       Settings
	sendsDeadlines bool // requests carry the deadlines of their clients
}

// settingsVariants returns settings that enable and disable rules of the controller, and settings of small
// servers in large fleets.
func settingsVariants() []settingsVariant {
	var variants []settingsVariant
	for i := range 12 {
		settings := testSettings()
		settings.Halt = Halt(i % 3)
		settings.Advert = Advert(i % 4)
		settings.Dependency = Dependency(i % 3)
		settings.WarmingUp = i%2 == 0
		if settings.Dependency != DependencyShared {
			settings.MaxCallsInFlight = 0
		}
		if i%4 == 1 {
			settings.CacheTTL = time.Second
		}
		if i%6 == 2 {
			settings.Tenants = nil
			settings.MemoryKB = 600
		}
		if i == 7 {
			settings.MaxCallsInFlight = 0.4
		}
		variants = append(variants, settingsVariant{settings, i%5 < 2})
	}
	for i, calls := range []float64{0.05, 0.4, 0.9} { // small servers of large fleets
		settings := testSettings()
		settings.Cores = 1 + i%2
		settings.MaxCallsInFlight = calls
		settings.Clients = 1000
		settings.FleetSize = 300
		settings.MarksRetries = i == 1
		settings.Advert = Advert(i + 1)
		settings.MemoryKB = 1500
		variants = append(variants, settingsVariant{settings: settings})
	}
	return variants
}

// Unforeseen sequences of events must not break an invariant of randomServer.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	for i, variant := range settingsVariants() {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(i, "-", seed), func(t *testing.T) { playRandom(t, variant, seed) })
		}
	}
}

// Equal events and seeds must give equal actions, for example independent of map iteration order. Otherwise
// failures cannot be reproduced.
func TestStepIsDeterministic(t *testing.T) {
	for i, variant := range settingsVariants() {
		if !reflect.DeepEqual(playRandom(t, variant, 5), playRandom(t, variant, 5)) {
			t.Fatalf("variant %d: different actions for the same events", i)
		}
	}
}
