package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"falldeal/lab/golden"
)

// The full message for every field of the settings that can be at fault.
func TestGoldenSettingsErrors(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name   string
		change func(*Settings)
	}{
		{"as it is", func(*Settings) {}},
		{"Cores 0", func(s *Settings) { s.Cores = 0 }},
		{"Cores -1", func(s *Settings) { s.Cores = -1 }},
		{"no Classes", func(s *Settings) { s.Classes = nil }},
		{"MemoryKB 0", func(s *Settings) { s.MemoryKB = 0 }},
		{"MemoryKB NaN", func(s *Settings) { s.MemoryKB = math.NaN() }},
		{"RunBlow -1", func(s *Settings) { s.RunningMemoryFactor = -1 }},
		{"RunBlow NaN", func(s *Settings) { s.RunningMemoryFactor = math.NaN() }},
		{"KeyKB -1", func(s *Settings) { s.KeyMemoryKB = -1 }},
		{"CallsOut -1", func(s *Settings) { s.MaxCallsInFlight = -1 }},
		{"CallsOver -1ms", func(s *Settings) { s.CallsWindow = -ms }},
		{"CallLingers -1ms", func(s *Settings) { s.AbandonedCallTime = -ms }},
		{"ColdFor -1ms", func(s *Settings) { s.SlowStartTime = -ms }},
		{"CrowdOver -1ms", func(s *Settings) { s.ConcurrencyWindow = -ms }},
		{"AnswerGrace -1ms", func(s *Settings) { s.AnswerGrace = -ms }},
		{"DrainGrace -1ms", func(s *Settings) { s.DrainGrace = -ms }},
		{"FreshFor -1ms", func(s *Settings) { s.CacheTTL = -ms }},
		{"MaxRetryAfter -1ms", func(s *Settings) { s.MaxRetryAfter = -ms }},
		{"IdleAfter -1ms", func(s *Settings) { s.IdleTimeout = -ms }},
		{"Tick -1ms", func(s *Settings) { s.Tick = -ms }},
		{"Aim 0", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }},
		{"Deadline 0", func(s *Settings) { s.Classes[1].Deadline = 0 }},
		{"KeyWindow -1ms", func(s *Settings) { s.Classes[2].IdempotencyWindow = -ms }},
	} {
		s := testSettings()
		test.change(&s)
		_, err := New(s, 7, 0)
		fmt.Fprintf(&got, "%s\n\tNew: %v\n", test.name, err)
		fmt.Fprintf(&got, "\tRetune: %v\n", start(t, testSettings()).Reconfigure(s))
	}
	golden.RequireText(t, "settings", got.String())
}

// The texts for the operators' log: every condition that begins and ends, and the drain.
func TestGoldenReports(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name  string
		enter func(*Controller)
		clear func(*Controller)
	}{
		{"circuit breaker", func(c *Controller) { c.calls.breaker.protectedCalls = -1 }, func(c *Controller) { c.calls.breaker.protectedCalls = BreakerProtectedCalls }},
		{"call limit", func(c *Controller) { c.calls.limiter.limitRatio = minCallLimitRatio }, func(c *Controller) { c.calls.limiter.limitRatio = maxCallLimitRatio }},
		{"admit probability", func(c *Controller) { c.admissionRate.probability = admitDecrease }, func(c *Controller) { c.admissionRate.probability = 1 }},
		{"memory limit", func(c *Controller) { c.memory.usedKB = c.memory.limitKB() + 1 }, func(c *Controller) { c.memory.usedKB = 0 }},
		{"health", func(c *Controller) { c.health.unhealthy = true }, func(c *Controller) { c.health.unhealthy = false }},
	} {
		controller := start(t, testSettings())
		fmt.Fprintf(&got, "%s\n", test.name)
		for _, change := range []func(*Controller){test.enter, test.clear} {
			controller.now += 2 * reportInterval
			controller.actions.pending = nil
			change(controller)
			controller.reportConditions()
			logged(&got, controller.actions.pending)
		}
	}
	for _, replaced := range []bool{false, true} {
		fmt.Fprintf(&got, "drain, replaced %t\n", replaced)
		logged(&got, start(t, testSettings()).Step(ms, []Event{DrainStarted(DrainSignal{StopAt: 3000 * ms, Replaced: replaced})}, nil))
	}
	golden.RequireText(t, "reports", got.String())
}

func logged(got *strings.Builder, actions []Action) {
	for _, a := range actions {
		if a.Kind == ActionLog {
			fmt.Fprintf(got, "\t%s\n", a.Condition.String())
		}
	}
}

// The reasons of rejections, as they stand in the log line of a request.
func TestGoldenReasons(t *testing.T) {
	var got strings.Builder
	for why := ReasonCPU; why <= ReasonBelowThreshold; why++ {
		fmt.Fprintf(&got, "%d %s\n", why, why)
	}
	golden.RequireText(t, "reasons", got.String())
}
