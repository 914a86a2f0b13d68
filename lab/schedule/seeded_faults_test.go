package schedule

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

var (
	scheduleCount = flag.Int("schedules", 1000, "schedules of faults to run")
	firstSeed     = flag.Uint64("first", 1, "seed of the first schedule")
	memberCount   = flag.Int("members", 0, "members of each fleet; 0 = drawn, 5 to 12")
)

// After any faults between members all of them must see the same fleet. Meanwhile no member may be declared failed whose
// process runs, and what is known of a name must never go back.
func TestSchedules(t *testing.T) {
	var mu sync.Mutex
	var recoveryTimes []time.Duration
	t.Cleanup(func() {
		t.Logf("%d schedules, agreed after: %v", len(recoveryTimes), quantiles(recoveryTimes))
	})
	for i := range *scheduleCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				took := runSchedule(t, seed)
				mu.Lock()
				defer mu.Unlock()
				recoveryTimes = append(recoveryTimes, took)
			})
		})
	}
}

// runSchedule injects the faults that a seed draws, and returns how long after them all members agreed.
func runSchedule(t *testing.T, seed uint64) time.Duration {
	t.Helper()
	cluster := New(clusterSize(seed), seed)
	defer cluster.Stop()
	cluster.startAll()
	_, err := WaitUntil(recoveryLimit, cluster.CheckAgreement)
	require.NoError(t, err, "at first")
	faults := cluster.DrawFaults()
	known := knownRecords{}
	cluster.InjectFaults(faults, func() { cluster.requireInvariants(t, known) })
	took, err := WaitUntil(recoveryLimit, cluster.CheckAgreement)
	require.NoErrorf(t, err, "after %+v", faults)
	return took
}

// clusterSize returns the number of members for a seed.
func clusterSize(seed uint64) int {
	if *memberCount != 0 {
		return *memberCount
	}
	return 5 + New(5, seed).Rand.IntN(8)
}

// observation is what the process of an observer knows of a name.
type observation struct {
	observer string
	run      uint64
	name     string
}

// knownRecords are the last records that each process was seen to have.
type knownRecords map[observation]fleet.Record

// requireInvariants checks what must hold at any time, and updates known.
func (c *Cluster) requireInvariants(t *testing.T, known knownRecords) {
	t.Helper()
	for _, observer := range c.LiveMembers() {
		snapshot := observer.Fleet.Snapshot()
		for i := range snapshot.Members {
			member := &snapshot.Members[i]
			key := observation{observer: observer.Name, run: observer.Run, name: member.Name}
			before := known[key]
			require.Falsef(t, member.Less(&before), "%s knows less of %s than before", observer.Name, member.Name)
			known[key] = *member.Record
			if member.Liveness == fleet.Failed {
				c.requireNotRunning(t, observer, member)
			}
		}
	}
}

// requireNotRunning requires that no live process is the one that the observer sees as failed.
func (c *Cluster) requireNotRunning(t *testing.T, observer *Member, failed *fleet.Member) {
	t.Helper()
	for _, live := range c.LiveMembers() {
		require.Falsef(t, live.Name == failed.Name && live.Run == failed.Run,
			"%s declares %s failed, which runs", observer.Name, failed.Name)
	}
}
