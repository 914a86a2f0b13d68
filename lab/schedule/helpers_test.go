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

// recoveryLimit is how long after the last fault all live members agree. Calls to lost members are at most 30 s and a half
// of that apart; the rest is for the updates to spread.
const recoveryLimit = 60 * time.Second

// observeInterval is how often tests look at the views of members.
const observeInterval = time.Second / 4

// startAll starts every member of a cluster that does not run yet.
func (c *Cluster) startAll() {
	for i := range c.Members {
		c.Start(i, fleet.Serving)
	}
}

// startCluster starts a fleet in which all agree.
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

// requireCondition waits until member i reports a condition of the member of a name.
func (c *Cluster) requireCondition(t *testing.T, i int, name, condition string) {
	t.Helper()
	_, err := WaitUntil(recoveryLimit, func() error {
		member := c.Members[i].Fleet.Snapshot().Find(name)
		if member == nil || member.Condition() != condition {
			return fmt.Errorf("%s reports %s as %+v", c.Members[i].Name, name, member)
		}
		return nil
	})
	require.NoError(t, err)
}

// requireNoneFailed requires that the observer sees no member as failed.
func requireNoneFailed(t *testing.T, observer *Member) {
	t.Helper()
	for _, member := range observer.Fleet.Snapshot().Members {
		require.NotEqual(t, fleet.Failed, member.Liveness, "%s of %s", observer.Name, member.Name)
	}
}

// partition interrupts the links between members, by number, for which interrupted returns true.
func (c *Cluster) partition(interrupted func(from, to int) bool) {
	numbers := map[string]int{}
	for i, member := range c.Members {
		numbers[member.Addr] = i
	}
	c.Network.SetRule(func(from, to string) memnet.Fault {
		return memnet.Fault{Partition: interrupted(numbers[from], numbers[to]), Delay: time.Millisecond}
	})
}

// heal ends all faults of the network.
func (c *Cluster) heal() { c.partition(func(int, int) bool { return false }) }

// quantiles formats the quantiles of durations.
func quantiles(durations []time.Duration) string {
	if len(durations) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(durations))
	quantile := func(q float64) time.Duration {
		return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Millisecond)
	}
	return fmt.Sprintf("least %v, median %v, 90%% %v, 99%% %v, most %v",
		quantile(0), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))
}
