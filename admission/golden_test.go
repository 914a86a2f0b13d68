package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"falldeal/lab/golden"
)

// The texts of settings errors are part of the simulator's protocol. The golden file fixes the text for each
// invalid field.
func TestGoldenSettingsErrors(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name   string
		change func(*Settings)
	}{
		{"as it is", func(*Settings) {}},
		{"Cores 0", func(settings *Settings) { settings.Cores = 0 }},
		{"Cores -1", func(settings *Settings) { settings.Cores = -1 }},
		{"no Classes", func(settings *Settings) { settings.Classes = nil }},
		{"MemoryKB 0", func(settings *Settings) { settings.MemoryKB = 0 }},
		{"MemoryKB NaN", func(settings *Settings) { settings.MemoryKB = math.NaN() }},
		{"RunBlow -1", func(settings *Settings) { settings.RunningMemoryFactor = -1 }},
		{"RunBlow NaN", func(settings *Settings) { settings.RunningMemoryFactor = math.NaN() }},
		{"KeyKB -1", func(settings *Settings) { settings.KeyMemoryKB = -1 }},
		{"CallsOut -1", func(settings *Settings) { settings.MaxCallsInFlight = -1 }},
		{"CallsOver -1ms", func(settings *Settings) { settings.CallsWindow = -ms }},
		{"CallLingers -1ms", func(settings *Settings) { settings.AbandonedCallTime = -ms }},
		{"ColdFor -1ms", func(settings *Settings) { settings.SlowStartTime = -ms }},
		{"CrowdOver -1ms", func(settings *Settings) { settings.ConcurrencyWindow = -ms }},
		{"AnswerGrace -1ms", func(settings *Settings) { settings.AnswerGrace = -ms }},
		{"DrainGrace -1ms", func(settings *Settings) { settings.DrainGrace = -ms }},
		{"FreshFor -1ms", func(settings *Settings) { settings.CacheTTL = -ms }},
		{"MaxRetryAfter -1ms", func(settings *Settings) { settings.MaxRetryAfter = -ms }},
		{"IdleAfter -1ms", func(settings *Settings) { settings.IdleTimeout = -ms }},
		{"Tick -1ms", func(settings *Settings) { settings.Tick = -ms }},
		{"Aim 0", func(settings *Settings) { settings.Classes[0].LatencyObjective = 0 }},
		{"Deadline 0", func(settings *Settings) { settings.Classes[1].Deadline = 0 }},
		{"KeyWindow -1ms", func(settings *Settings) { settings.Classes[2].IdempotencyWindow = -ms }},
	} {
		settings := testSettings()
		test.change(&settings)
		_, err := New(settings, 7, 0)
		fmt.Fprintf(&got, "%s\n\tNew: %v\n", test.name, err)
		fmt.Fprintf(&got, "\tRetune: %v\n", startController(t, testSettings()).Reconfigure(settings))
	}
	golden.RequireText(t, "settings", got.String())
}

// The golden file fixes the texts for the operators' log: the beginning and the end of each condition, and
// the drain.
func TestGoldenReports(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name  string
		enter func(*Controller)
		clear func(*Controller)
	}{
		{"circuit breaker",
			func(controller *Controller) { controller.SetProtectedCalls(-1) },
			func(controller *Controller) { controller.SetProtectedCalls(BreakerProtectedCalls) }},
		{"call limit",
			func(controller *Controller) { controller.calls.limiter.limitRatio = minCallLimitRatio },
			func(controller *Controller) { controller.calls.limiter.limitRatio = maxCallLimitRatio }},
		{"admit probability",
			func(controller *Controller) { controller.admitProbability.probability = admitDecrease },
			func(controller *Controller) { controller.admitProbability.probability = 1 }},
		{"memory limit",
			func(controller *Controller) { controller.memory.usedKB = controller.memory.limitKB() + 1 },
			func(controller *Controller) { controller.memory.usedKB = 0 }},
		{"health",
			func(controller *Controller) { controller.health.unhealthy = true },
			func(controller *Controller) { controller.health.unhealthy = false }},
	} {
		controller := startController(t, testSettings())
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
		logged(&got, startController(t, testSettings()).Step(ms, []Event{DrainStarted(DrainSignal{StopAt: 3000 * ms, Replaced: replaced})}, nil))
	}
	golden.RequireText(t, "reports", got.String())
}

// logged writes the texts of the log actions to got.
func logged(got *strings.Builder, actions []Action) {
	for _, action := range actions {
		if action.Kind == ActionLog {
			fmt.Fprintf(got, "\t%s\n", action.Condition.String())
		}
	}
}

// The golden file fixes the reasons of rejections, which are log field values.
func TestGoldenReasons(t *testing.T) {
	var got strings.Builder
	for reason := ReasonCPU; reason <= ReasonBelowThreshold; reason++ {
		fmt.Fprintf(&got, "%d %s\n", reason, reason)
	}
	golden.RequireText(t, "reasons", got.String())
}
