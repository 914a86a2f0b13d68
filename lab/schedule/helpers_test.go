package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/memnet"

	"github.com/stretchr/testify/require"
)

// recoveryLimit is the time within which all live members must agree after the last fault. In a fleet of 4 to 15 members, each
// member dials a lost one at intervals of at most 60 s. Several members dial, so the first dial comes earlier and leaves time
// for updates to spread.
const recoveryLimit = 60 * time.Second

// observeInterval is the interval at which tests check the views of members.
const observeInterval = time.Second / 4

// startAll starts all members of a cluster. It must be called before any of them runs.
func (c *Cluster) startAll() {
	for i := range c.Members {
		c.Start(i, fleet.Serving)
	}
}

// startCluster starts a fleet of n members and waits until they agree.
func startCluster(t *testing.T, n int) *Cluster {
	t.Helper()
	cluster := New(n, 7)
	t.Cleanup(cluster.Stop)
	cluster.startAll()
	cluster.requireAgreement(t)
	return cluster
}

// requireAgreement waits until all live members agree.
func (c *Cluster) requireAgreement(t *testing.T) {
	t.Helper()
	_, err := WaitUntil(recoveryLimit, c.CheckAgreement)
	require.NoError(t, err)
}

// requireCondition waits until member i reports the member with a name in a condition.
func (c *Cluster) requireCondition(t *testing.T, i int, name, condition string) {
	t.Helper()
	_, err := WaitUntil(recoveryLimit, func() error {
		member := c.Members[i].Fleet.Snapshot().Find(name)
		if member == nil || member.Condition() != condition {
			return fmt.Errorf("%s reports %s as %+v instead of %s", c.Members[i].Name, name, member, condition)
		}
		return nil
	})
	require.NoError(t, err)
}

// requireNoneFailed requires that the observer sees no member as failed.
func requireNoneFailed(t *testing.T, observer *Member) {
	t.Helper()
	for _, member := range observer.Fleet.Snapshot().Members {
		require.NotEqual(t, fleet.Failed, member.Liveness, "%s sees %s as failed", observer.Name, member.Name)
	}
}

// partition interrupts the links for which interrupted returns true, and heals all others. Members are given by index.
func (c *Cluster) partition(interrupted func(from, to int) bool) {
	numbers := map[string]int{}
	for i, member := range c.Members {
		numbers[member.Addr] = i
	}
	c.Network.SetRule(func(from, to string) memnet.Fault {
		return memnet.Fault{Partition: interrupted(numbers[from], numbers[to]), Delay: time.Millisecond}
	})
}

// heal removes all faults of the network.
func (c *Cluster) heal() { c.partition(func(int, int) bool { return false }) }

// quantiles returns the quantiles of durations as text, rounded to 0.1 s.
func quantiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(durations))
	quantile := func(q float64) time.Duration {
		return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Millisecond)
	}
	return fmt.Sprintf("min %v, median %v, p90 %v, p99 %v, max %v",
		quantile(0), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))
}
