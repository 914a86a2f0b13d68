package admission

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// The probability must not reach 0: then no request would run while the cores are busy, and no latency would
// show a recovery.
func TestAdmitProbabilityStaysWithinBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	admit := newAdmitProbability(rng)
	require.True(t, admit.recovered())
	require.False(t, admit.reduced())
	for range 100 {
		admit.adjust(true)
	}
	require.InDelta(t, minAdmitProbability, admit.probability, 0)
	require.True(t, admit.reduced())
	admittedCount := 0
	for range 10000 {
		if admit.admits() {
			admittedCount++
		}
	}
	require.InDelta(t, 10000*minAdmitProbability, admittedCount, 100)
	for range 100 {
		admit.adjust(false)
	}
	require.True(t, admit.recovered())
}

// Either gauge alone indicates pressure. Unknown gauges must not, or a server without them would reject
// requests.
func TestCPUPressureThresholds(t *testing.T) {
	for _, test := range []struct {
		name   string
		gauges Gauges
		want   bool
	}{
		{"idle", Gauges{CPUUtilization: 0.1, CPUDemand: 0}, false},
		{"high utilization", Gauges{CPUUtilization: 0.95, CPUDemand: 4}, true},
		{"high demand, unknown utilization", Gauges{CPUUtilization: -1, CPUDemand: 9}, true},
		{"at the thresholds", Gauges{CPUUtilization: 0.9, CPUDemand: 8}, false},
		{"unknown", UnknownGauges(), false},
	} {
		require.Equal(t, test.want, underCPUPressure(test.gauges, 4), test.name)
	}
}
