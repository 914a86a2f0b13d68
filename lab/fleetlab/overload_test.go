package fleetlab

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/overload"
	"falldeal/lab/clients"
	"falldeal/lab/faults"
	"falldeal/lab/history"

	"github.com/stretchr/testify/require"
)

// Guards against members that shed load at different thresholds. Five processes get 1.6 times the load that they can
// serve, from clients that retry without limit; one process is killed and one paused. All live members must shed at
// about the same threshold, and stop shedding when the load has ended.
func TestFleetShedsAtOneThreshold(t *testing.T) {
	lab := startLab(t, func(o *Options) {
		o.Members, o.Zones, o.Cores = 5, []string{"z0", "z1"}, 1
		o.Shedding, o.QuotaLeasing, o.CoordinatedProbes = true, true, true
	})
	all := memberNames(5)
	lab.requireFullyConnected(t, all)
	stopLoad := lab.generateLoad(4, 1.6*lab.Capacity(),
		clients.Policy{HonorRetryAfter: true}, clients.Policy{RouteByKey: true})
	defer stopLoad()
	const tolerance = 6 // maximum difference between thresholds, which are priorities
	shedding := func(lowest, highest float64) bool { return lowest > 0 && highest-lowest < tolerance }
	lab.requireThresholds(t, all, shedding)
	lab.FindMember("n4").Kill()
	require.False(t, lab.FindMember("n4").Running())
	resume := lab.inject(t, faults.Fault{Kind: faults.KindPause, Target: "n3", Duration: time.Hour})
	lab.requireViews(t, all[:3], member("n3", history.ConditionStalled), member("n4", history.ConditionFailed))
	lab.requireThresholds(t, all[:3], shedding)
	resume()
	lab.requireThresholds(t, all[:4], shedding)
	stopLoad()
	lab.requireThresholds(t, all[:4], func(_, highest float64) bool { return highest == 0 })
	lab.requireNoViolations(t)
}

// requireThresholds waits until the condition holds for the lowest and the highest shedding threshold that any of the
// members reports for any of them.
func (l *Lab) requireThresholds(t *testing.T, members []string, condition func(lowest, highest float64) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		lowest, highest := math.Inf(1), 0.0
		for _, name := range members {
			report, err := l.FindMember(name).FleetReport(t.Context())
			if err != nil {
				return false
			}
			for _, m := range report.Members {
				if slices.Contains(members, m.Name) {
					lowest, highest = min(lowest, m.Threshold), max(highest, m.Threshold)
				}
			}
		}
		return condition(lowest, highest)
	}, waitTimeout, time.Second/5)
}

// Guards against every server probing an unresponsive store on its own. Only one server at a time may probe it; a
// second call may be in flight while the next server takes over. When the stores answer again, all servers must use
// them again. The calls are counted by the stores.
func TestUnresponsiveStoresAreProbedByOneServer(t *testing.T) {
	lab := startLab(t, func(o *Options) { o.CoordinatedProbes, o.Slots = true, 24 })
	all := memberNames(6)
	lab.requireFullyConnected(t, all)
	stopLoad := lab.generateLoad(3, 60, clients.Policy{MaxAttempts: 3, HonorRetryAfter: true})
	defer stopLoad()
	wait := func(reason string, condition func() bool) {
		t.Helper()
		require.Eventually(t, condition, waitTimeout, time.Second/5, reason)
	}
	inUse := func() bool {
		started, _ := lab.recentCalls()
		return started > 100
	}
	probesOnly := func() bool {
		started, maxInFlight := lab.recentCalls()
		return started > 0 && started <= 24 && maxInFlight <= 2
	}
	wait("calls are made", inUse)
	restore := lab.inject(t, faults.Fault{Kind: faults.KindUnresponsiveStore, Target: "*", Duration: time.Hour})
	wait("one probe at a time", probesOnly)
	lab.FindMember("n4").Kill() // it may be the server that probes
	wait("one probe at a time still", probesOnly)
	restore()
	wait("all servers use the stores again", func() bool {
		return inUse() && lab.allUseStores(t.Context(), without(all, "n4"))
	})
	stopLoad()
	lab.requireNoViolations(t)
}

// recentCalls returns the number of calls that the stores received in the last 6 s, and the maximum that one store
// had in flight.
func (l *Lab) recentCalls() (started, maxInFlight int) {
	from := l.Log.Now() - 6*time.Second
	for _, e := range l.Log.Events() {
		if e.At > from && e.Kind == history.CallStarted {
			started++
			maxInFlight = max(maxInFlight, e.Count)
		}
	}
	return started, maxInFlight
}

// allUseStores reports whether none of the members reports that the store of any of them is unresponsive or is probed.
func (l *Lab) allUseStores(ctx context.Context, members []string) bool {
	notInUse := func(m fleet.MemberReport) bool {
		state := overload.StoreState(m.StoreState)
		return slices.Contains(members, m.Name) && (state == overload.StoreUnresponsive || state == overload.StoreProbing)
	}
	for _, name := range members {
		report, err := l.FindMember(name).FleetReport(ctx)
		if err != nil || slices.ContainsFunc(report.Members, notInUse) {
			return false
		}
	}
	return true
}
