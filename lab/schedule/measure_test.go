package schedule

import (
	"flag"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/memnet"

	"github.com/stretchr/testify/require"
)

// Flags of the measurements, which run on request only. docs/membership.md has their results.
//
//	go test ./lab/schedule -run Measure -measure -v -timeout 1h
var (
	measure = flag.Bool("measure", false, "run the measurements")
	sizes   = flag.String("sizes", "10,100,300", "numbers of members of the measured fleets, separated by commas")
	staged  = flag.Int("staged", 0, "members started per second in the measurement of cost; 0: all at the same instant")
)

const (
	joinLimit   = 10 * time.Minute // until all members agree after their start
	detectLimit = 10 * time.Minute // until all members see that one was killed
)

// plainHeartbeats are the heartbeats that membership is compared with.
var plainHeartbeats = Heartbeats{Interval: time.Second, MissedLimit: 4, PayloadBytes: 120}

// measuredLossRatios are the ratios of lost datagrams for which detection is measured.
var measuredLossRatios = []float64{0, 0.05, 0.2, 0.4}

// forEachSize runs a measurement with a fleet of each size in -sizes. It skips the test without -measure.
func forEachSize(t *testing.T, take func(t *testing.T, n int)) {
	t.Helper()
	if !*measure {
		t.Skip("measurements run only with -measure")
	}
	var n int
	for rest := *sizes; rest != ""; {
		parsed, err := fmt.Sscanf(rest, "%d,%s", &n, &rest)
		if parsed == 0 {
			require.NoError(t, err)
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { take(t, n) }) })
		if parsed < 2 {
			break
		}
	}
}

// cpuTime returns the processor time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only for an invalid argument
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasureCost measures the cost of membership for each member of a fleet without changes, in packets, bytes and processor
// time of this machine per second, and the same for plain heartbeats. It also measures the cost of starting all members.
func TestMeasureCost(t *testing.T) {
	forEachSize(t, measureMembershipCost)
	forEachSize(t, measureHeartbeatCost)
}

// measureMembershipCost measures the cost of membership in a fleet of n members.
func measureMembershipCost(t *testing.T, n int) {
	const interval = 30 * time.Second
	cluster := New(n, 1)
	defer cluster.Stop()
	measureJoin(t, cluster)
	time.Sleep(interval)
	before, cpuBefore := cluster.traffic(), cpuTime()
	time.Sleep(interval)
	after := cluster.traffic()
	perSecond := func(total int64) float64 { return float64(total) / float64(n) / interval.Seconds() }
	mean, oldest := cluster.recordAges()
	t.Logf("%4d members, SWIM: %.1f packets/s, %.0f bytes/s, %.0f stream bytes/s, %.0f us/s of processor time per member; "+
		"age of records: mean %v, max %v",
		n, perSecond(after.packets-before.packets), perSecond(after.bytes-before.bytes),
		perSecond(after.streamBytes-before.streamBytes), perSecond(int64(cpuTime()-cpuBefore))/1000,
		mean.Round(time.Second/10), oldest.Round(time.Second/10))
}

// measureJoin starts all members and logs how long they take to agree.
func measureJoin(t *testing.T, cluster *Cluster) {
	t.Helper()
	n := len(cluster.Members)
	cpuBefore := cpuTime()
	for i := range cluster.Members {
		cluster.Start(i, fleet.Serving)
		if *staged > 0 && i%*staged == 0 {
			time.Sleep(time.Second)
		}
	}
	took, err := WaitUntil(joinLimit, cluster.CheckAgreement)
	require.NoError(t, err)
	t.Logf("%4d members joined: agreed after %v; %v of processor time per member",
		n, took.Round(time.Second/10), ((cpuTime() - cpuBefore) / time.Duration(n)).Round(10*time.Microsecond))
}

// traffic is the traffic that members have sent so far.
type traffic struct{ packets, bytes, streamBytes int64 }

// traffic returns the traffic of all live members.
func (c *Cluster) traffic() (total traffic) {
	for _, member := range c.LiveMembers() {
		counters := &member.Fleet.Counters
		total.packets += counters.PacketsOut.Load()
		total.bytes += counters.BytesOut.Load()
		total.streamBytes += counters.StreamBytes.Load()
	}
	return total
}

// recordAges returns the mean and the maximum age of the records that the first member holds.
func (c *Cluster) recordAges() (mean, oldest time.Duration) {
	observer := c.Members[0].Fleet
	members := observer.Snapshot().Members
	for i := range members {
		age := members[i].Age(observer.Now())
		oldest, mean = max(oldest, age), mean+age/time.Duration(len(c.Members))
	}
	return mean, oldest
}

// measureHeartbeatCost measures the cost of plain heartbeats in a fleet of n members.
func measureHeartbeatCost(t *testing.T, n int) {
	const interval = 5 * time.Second
	members := startHeartbeats(memnet.New(1), n)
	time.Sleep(2*time.Second + time.Second/2)
	cpuBefore := cpuTime()
	time.Sleep(interval)
	cpuUsed := cpuTime() - cpuBefore
	t.Logf("%4d members, heartbeats to all: %d packets/s, %d bytes/s, %.0f us/s of processor time per member",
		n, n-1, (n-1)*plainHeartbeats.PayloadBytes, float64(cpuUsed.Microseconds())/float64(n)/interval.Seconds())
	stopHeartbeats(members)
}

// startHeartbeats starts a fleet of n members with plain heartbeats.
func startHeartbeats(network *memnet.Network, n int) (members []*HeartbeatMember) {
	var addrs []string
	for i := range n {
		addrs = append(addrs, fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255))
	}
	for i := range n {
		members = append(members, plainHeartbeats.Start(network, addrs, i))
	}
	return members
}

// stopHeartbeats stops members, waits for packets in transit and returns the number of false removals.
func stopHeartbeats(members []*HeartbeatMember) (falseRemovals int) {
	for _, member := range members {
		member.Stop()
		falseRemovals += member.FalseRemovals
	}
	time.Sleep(time.Second)
	return falseRemovals
}

// TestMeasureDetection measures, for each ratio of lost datagrams, how long it takes until one and until all other members see
// that a process was killed, and how many times per member and hour a view loses a member that runs.
func TestMeasureDetection(t *testing.T) {
	for _, lossRatio := range measuredLossRatios {
		forEachSize(t, func(t *testing.T, n int) { measureDetection(t, n, lossRatio) })
	}
}

// measureDetection measures failure detection in a fleet of n members.
func measureDetection(t *testing.T, n int, lossRatio float64) {
	t.Helper()
	const timeBeforeKills, kills = 2 * time.Minute, 5
	cluster := New(n, 3)
	defer cluster.Stop()
	cluster.startAll()
	_, err := WaitUntil(joinLimit, cluster.CheckAgreement)
	require.NoError(t, err)
	cluster.Network.SetRule(func(string, string) memnet.Fault {
		return memnet.Fault{LossRatio: lossRatio, Delay: time.Millisecond, Jitter: time.Millisecond}
	})
	falseRemovals := cluster.countFalseRemovals(timeBeforeKills)
	var byOne, byAll []time.Duration
	for i := range kills {
		one, all := cluster.measureKill(t, cluster.Members[maxSeeds+i])
		byOne, byAll = append(byOne, one), append(byAll, all)
	}
	slices.Sort(byAll)
	t.Logf("%4d members, %2.0f%% loss: %d false removals in %v (%.2f per member and hour); "+
		"failure seen by one member: %v; by all: %v",
		n, 100*lossRatio, falseRemovals, timeBeforeKills, float64(falseRemovals)/float64(n)/timeBeforeKills.Hours(),
		quantiles(byOne), quantiles(byAll))
}

// lostIn reports whether a member is missing, unreachable or failed in a view.
func lostIn(view *fleet.Snapshot, name string) bool {
	member := view.Find(name)
	return member == nil || member.Liveness == fleet.Unreachable || member.Liveness == fleet.Failed
}

// downIn reports whether a member is lost in a view, or stalled.
func downIn(view *fleet.Snapshot, name string) bool {
	return lostIn(view, name) || view.Find(name).Liveness == fleet.Stalled
}

// countFalseRemovals counts how often a view loses a member during a time in which all members run.
func (c *Cluster) countFalseRemovals(duration time.Duration) (removals int) {
	type pair struct{ observer, member int }
	lostBefore := map[pair]bool{}
	for start := time.Now(); time.Since(start) < duration; time.Sleep(observeInterval) {
		for i, observer := range c.Members {
			view := observer.Fleet.Snapshot()
			for k, member := range c.Members {
				lost := lostIn(view, member.Name)
				if lost && !lostBefore[pair{i, k}] {
					removals++
				}
				lostBefore[pair{i, k}] = lost
			}
		}
	}
	return removals
}

// measureKill kills a member, and returns how long it takes until one and until all other members see it as down.
func (c *Cluster) measureKill(t *testing.T, victim *Member) (byOne, byAll time.Duration) {
	t.Helper()
	victim.Kill()
	start := time.Now()
	byAll, err := WaitUntil(detectLimit, func() error {
		seen, live := 0, c.LiveMembers()
		for _, observer := range live {
			if downIn(observer.Fleet.Snapshot(), victim.Name) {
				seen++
			}
		}
		if seen > 0 && byOne == 0 {
			byOne = time.Since(start)
		}
		if seen < len(live) {
			return fmt.Errorf("%d of %d members see %s as down", seen, len(live), victim.Name)
		}
		return nil
	})
	require.NoError(t, err)
	return byOne, byAll
}

// TestMeasureHeartbeats logs the limit of missed heartbeats with which the whole fleet has at most one expected false removal
// per hour. It also measures the false removals of plain heartbeats at 20% loss with a limit of 4.
func TestMeasureHeartbeats(t *testing.T) {
	for _, lossRatio := range measuredLossRatios {
		forEachSize(t, func(t *testing.T, n int) {
			t.Logf("%4d members, %2.0f%% loss: at most one expected false removal per hour needs a limit of %d missed heartbeats",
				n, 100*lossRatio, MinMissedHeartbeats(n, lossRatio))
		})
	}
	forEachSize(t, func(t *testing.T, n int) {
		network := memnet.New(1)
		network.SetRule(func(string, string) memnet.Fault {
			return memnet.Fault{LossRatio: 0.2, Delay: time.Millisecond}
		})
		members := startHeartbeats(network, n)
		time.Sleep(30 * time.Second)
		falseRemovals := stopHeartbeats(members)
		t.Logf("%4d members, 20%% loss, limit of 4 missed heartbeats: %d false removals in 30 s (%.1f per member and hour)",
			n, falseRemovals, float64(falseRemovals)/float64(n)*120)
	})
}
