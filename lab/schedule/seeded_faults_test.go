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
	scheduleCount = flag.Int("schedules", 1000, "number of fault schedules to run")
	firstSeed     = flag.Uint64("first", 1, "seed of the first schedule")
	memberCount   = flag.Int("members", 0, "members of each fleet; 0: drawn from 5 to 12")
)

// Guards against combinations of overlapping faults that no scenario covers: after the faults of any seed all members must agree
// on the fleet. During the faults no member may be seen as failed whose process runs, and the record of a name in a view must
// never be replaced by an older one.
func TestMembersAgreeAfterSeededFaults(t *testing.T) {
	var mu sync.Mutex
	var recoveryTimes []time.Duration
	t.Cleanup(func() {
		t.Logf("%d schedules, time until members agreed: %v", len(recoveryTimes), quantiles(recoveryTimes))
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

// runSchedule injects the faults drawn from a seed, and returns how long after their end all members agreed.
func runSchedule(t *testing.T, seed uint64) time.Duration {
	t.Helper()
	cluster := New(clusterSize(seed), seed)
	defer cluster.Stop()
	cluster.startAll()
	_, err := WaitUntil(recoveryLimit, cluster.CheckAgreement)
	require.NoError(t, err, "before the faults")
	faults := cluster.DrawFaults()
	known := knownRecords{}
	cluster.InjectFaults(faults, func() { cluster.requireInvariants(t, known) })
	took, err := WaitUntil(recoveryLimit, cluster.CheckAgreement)
	require.NoErrorf(t, err, "after %+v", faults)
	return took
}

// clusterSize returns the number of members of the fleet for a seed.
func clusterSize(seed uint64) int {
	if *memberCount != 0 {
		return *memberCount
	}
	return 5 + New(5, seed).Rand.IntN(8)
}

// observation identifies what one process of an observer knows about a member.
type observation struct {
	observer string
	run      uint64 // run ID of the observer's process
	name     string // of the member
}

// knownRecords has the records that each process had in its view at the last check.
type knownRecords map[observation]fleet.Record

// requireInvariants requires what must hold at any time: no record is replaced by an older one, and no running process is seen
// as failed. It updates known.
func (c *Cluster) requireInvariants(t *testing.T, known knownRecords) {
	t.Helper()
	for _, observer := range c.LiveMembers() {
		snapshot := observer.Fleet.Snapshot()
		for i := range snapshot.Members {
			member := &snapshot.Members[i]
			key := observation{observer: observer.Name, run: observer.Run, name: member.Name}
			before := known[key]
			require.Falsef(t, member.Less(&before), "%s replaced its record of %s by an older one", observer.Name, member.Name)
			known[key] = *member.Record
			if member.Liveness == fleet.Failed {
				c.requireNotRunning(t, observer, member)
			}
		}
	}
}

// requireNotRunning requires that the process that the observer sees as failed does not run.
func (c *Cluster) requireNotRunning(t *testing.T, observer *Member, failed *fleet.Member) {
	t.Helper()
	for _, live := range c.LiveMembers() {
		require.Falsef(t, live.Name == failed.Name && live.Run == failed.Run,
			"%s sees %s as failed, whose process runs", observer.Name, failed.Name)
	}
}
