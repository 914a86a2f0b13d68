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

// Measurements by command; docs/membership.md has what they gave.
//
//	go test ./lab/schedule -run Measure -measure -v -timeout 1h
var (
	measure = flag.Bool("measure", false, "take the measurements")
	sizes   = flag.String("sizes", "10,100,300", "members of the fleets that are measured")
	staged  = flag.Int("staged", 0, "members started a second in the measurement of cost; 0: all at one instant")
)

func eachSize(t *testing.T, do func(t *testing.T, n int)) {
	if !*measure {
		t.Skip("taken by command: -measure")
	}
	var n int
	for rest := *sizes; rest != ""; {
		got, err := fmt.Sscanf(rest, "%d,%s", &n, &rest)
		if got == 0 {
			require.NoError(t, err)
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { do(t, n) }) })
		if got < 2 {
			break
		}
	}
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestMeasureCost takes what membership costs at rest: packets, bytes and processor time of this machine a second, for
// each member, beside plain heartbeats to all; and what the joining of all at one instant costs.
func TestMeasureCost(t *testing.T) {
	const rest = 30 * time.Second
	eachSize(t, func(t *testing.T, n int) {
		c := New(n, 1)
		defer c.Stop()
		used := cpu()
		for i := range c.Members {
			c.Start(i, fleet.Serving)
			if *staged > 0 && i%*staged == 0 {
				time.Sleep(time.Second)
			}
		}
		d, err := WaitUntil(10*time.Minute, c.CheckAgreement)
		require.NoError(t, err)
		t.Logf("%4d members joined: agreed after %v; %v of processor time each", n, d.Round(time.Second/10), ((cpu() - used) / time.Duration(n)).Round(10*time.Microsecond))
		time.Sleep(rest)
		packets, bytes, streams := c.sent()
		used = cpu()
		time.Sleep(rest)
		p, b, s := c.sent()
		each := func(v int64) float64 { return float64(v) / float64(n) / rest.Seconds() }
		var oldest, mean time.Duration
		members := c.Members[0].Fleet.Snapshot().Members
		for i := range members {
			age := members[i].Age(c.Members[0].Fleet.Now())
			oldest, mean = max(oldest, age), mean+age/time.Duration(n)
		}
		t.Logf("%4d members, SWIM: %.1f packets, %.0f bytes, %.0f bytes by stream, %.0f us a second each; words are %v old in the mean, %v at most",
			n, each(p-packets), each(b-bytes), each(s-streams), each(int64(cpu()-used))/1000, mean.Round(time.Second/10), oldest.Round(time.Second/10))
	})
	eachSize(t, func(t *testing.T, n int) {
		net := memnet.New(1)
		var addrs []string
		for i := range n {
			addrs = append(addrs, fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255))
		}
		var all []*HeartbeatMember
		for i := range n {
			all = append(all, Heartbeats{Interval: time.Second, MissedLimit: 4, PayloadBytes: 120}.Start(net, addrs, i))
		}
		time.Sleep(2*time.Second + time.Second/2)
		used := cpu()
		time.Sleep(5 * time.Second)
		t.Logf("%4d members, heartbeats to all: %d packets, %d bytes, %.0f us a second each", n, n-1, (n-1)*120, float64((cpu()-used).Microseconds())/float64(n)/5)
		for _, b := range all {
			b.Stop()
		}
		time.Sleep(time.Second)
	})
}

func (c *Cluster) sent() (packets, bytes, streams int64) {
	for _, m := range c.Members {
		if m.Fleet != nil {
			packets += m.Fleet.Counters.PacketsOut.Load()
			bytes += m.Fleet.Counters.BytesOut.Load()
			streams += m.Fleet.Counters.StreamBytes.Load()
		}
	}
	return packets, bytes, streams
}

// TestMeasureDetection takes, at each loss, how long it takes until one and until all others see that a process was
// killed, and how many views wrongly lose a member that lives, for each member and hour.
func TestMeasureDetection(t *testing.T) {
	const quiet, kills = 2 * time.Minute, 5
	for _, loss := range []float64{0, 0.05, 0.2, 0.4} {
		eachSize(t, func(t *testing.T, n int) {
			c := New(n, 3)
			defer c.Stop()
			for i := range c.Members {
				c.Start(i, fleet.Serving)
			}
			_, err := WaitUntil(10*time.Minute, c.CheckAgreement)
			require.NoError(t, err)
			c.Network.SetRule(func(string, string) memnet.Fault {
				return memnet.Fault{LossRatio: loss, Delay: time.Millisecond, Jitter: time.Millisecond}
			})
			wrong, gone := 0, map[[2]int]bool{}
			for begun := time.Now(); time.Since(begun) < quiet; time.Sleep(time.Second / 4) {
				for i, m := range c.Members {
					s := m.Fleet.Snapshot()
					for j := range c.Members {
						x := s.Find(c.Members[j].Name)
						lost := x == nil || x.Liveness == fleet.Silent || x.Liveness == fleet.Dead
						if lost && !gone[[2]int{i, j}] {
							wrong++
						}
						gone[[2]int{i, j}] = lost
					}
				}
			}
			var first, all []time.Duration
			for k := range kills {
				victim := c.Members[3+k] // not a seed
				victim.Kill()
				begun := time.Now()
				var one time.Duration
				d, err := WaitUntil(10*time.Minute, func() error {
					seen, live := 0, c.LiveMembers()
					for _, m := range live {
						if x := m.Fleet.Snapshot().Find(victim.Name); x == nil || x.Liveness == fleet.Silent || x.Liveness == fleet.Dead || x.Liveness == fleet.Wedged {
							seen++
						}
					}
					if seen > 0 && one == 0 {
						one = time.Since(begun)
					}
					if seen < len(live) {
						return fmt.Errorf("%d of %d see it", seen, len(live))
					}
					return nil
				})
				require.NoError(t, err)
				first, all = append(first, one), append(all, d)
			}
			slices.Sort(all)
			t.Logf("%4d members, %2.0f%% loss: false removals %d in %v (%.2f for each member and hour); a death seen by one: %v; by all: %v",
				n, 100*loss, wrong, quiet, float64(wrong)/float64(n)/quiet.Hours(), quantiles(first), quantiles(all))
		})
	}
}

// TestMeasureHeartbeats takes the same for plain heartbeats, with as many beats missed as keep false removals below one
// an hour for the whole fleet.
func TestMeasureHeartbeats(t *testing.T) {
	for _, loss := range []float64{0, 0.05, 0.2, 0.4} {
		eachSize(t, func(t *testing.T, n int) {
			t.Logf("%4d members, %2.0f%% loss: heartbeats need %d missed beats for fewer than one false removal an hour", n, 100*loss, MinMissedHeartbeats(n, loss))
		})
	}
	eachSize(t, func(t *testing.T, n int) {
		net := memnet.New(1)
		net.SetRule(func(string, string) memnet.Fault { return memnet.Fault{LossRatio: 0.2, Delay: time.Millisecond} })
		var addrs []string
		for i := range n {
			addrs = append(addrs, fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255))
		}
		var all []*HeartbeatMember
		for i := range n {
			all = append(all, Heartbeats{Interval: time.Second, MissedLimit: 4, PayloadBytes: 120}.Start(net, addrs, i))
		}
		time.Sleep(30 * time.Second)
		wrong := 0
		for _, b := range all {
			b.Stop()
			wrong += b.FalseRemovals
		}
		t.Logf("%4d members, 20%% loss, 4 missed beats: %d false removals in 30 s (%.1f for each member and hour)", n, wrong, float64(wrong)/float64(n)*120)
		time.Sleep(time.Second)
	})
}
