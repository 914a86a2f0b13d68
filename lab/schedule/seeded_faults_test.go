package schedule

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

var (
	schedules = flag.Int("schedules", 1000, "schedules of faults to play")
	firstSeed = flag.Uint64("first", 1, "seed of the first one")
	members   = flag.Int("members", 0, "members of each fleet; 0 = drawn, 5 to 12")
)

// healedWithin is how long after the last fault all live members agree. Calls to lost members are 30 s apart at most
// and a half; the rest is for the words to go round.
const healedWithin = 60 * time.Second

// Whatever goes wrong between members, once it is over all of them see the same fleet. Until then nobody is called
// dead whose process lives, and what is known of a name never goes back.
func TestSchedules(t *testing.T) {
	var mu sync.Mutex
	var took []time.Duration
	t.Cleanup(func() { t.Logf("%d schedules, agreed after: %v", len(took), quantiles(took)) })
	for s := range *schedules {
		seed := *firstSeed + uint64(s)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				n := *members
				c := New(5, seed)
				if n == 0 {
					n = 5 + c.Rand.IntN(8)
				}
				c = New(n, seed)
				defer c.Stop()
				for i := range c.Members {
					c.Start(i, fleet.Serving)
				}
				_, err := WaitUntil(healedWithin, c.CheckAgreement)
				require.NoError(t, err, "at first")
				faults := c.DrawFaults()
				last := map[[2]string]fleet.Record{}
				c.InjectFaults(faults, func() { c.watch(t, last) })
				d, err := WaitUntil(healedWithin, c.CheckAgreement)
				require.NoErrorf(t, err, "after %+v", faults)
				mu.Lock()
				defer mu.Unlock()
				took = append(took, d)
			})
		})
	}
}

// watch checks what must hold at any time.
func (c *Cluster) watch(t *testing.T, last map[[2]string]fleet.Record) {
	for _, m := range c.LiveMembers() {
		s := m.Fleet.Snapshot()
		for i := range s.Members {
			x := &s.Members[i]
			at := [2]string{m.Name + fmt.Sprint(m.Run), x.Name}
			was := last[at]
			require.Falsef(t, x.Record.Less(&was), "%s knows less of %s than before", m.Name, x.Name)
			last[at] = *x.Record
			if x.Liveness == fleet.Dead {
				for _, o := range c.LiveMembers() {
					require.Falsef(t, o.Name == x.Name && o.Run == x.Run, "%s calls %s dead, which lives", m.Name, x.Name)
				}
			}
		}
	}
}

func quantiles(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(d))
	at := func(q float64) time.Duration {
		return sorted[int(q*float64(len(sorted)-1))].Round(100 * time.Millisecond)
	}
	return fmt.Sprintf("least %v, median %v, 90%% %v, 99%% %v, most %v", at(0), at(0.5), at(0.9), at(0.99), at(1))
}
