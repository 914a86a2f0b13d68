package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// viewOf returns a view of n members, of which n0 is the observer, that have told load(i).
func viewOf(n int, now time.Duration, load func(i int) fleet.Load) *fleet.Snapshot {
	v := fleet.NewView("n0", fleet.Limits{Members: n})
	for i := range n {
		name := fmt.Sprint("n", i)
		v.Merge(now, 0, fleet.Record{Name: name, Run: uint64(i + 1), Seq: uint64(now) + 1, State: fleet.Serving, Load: load(i)})
		v.ObserveReach(now, name, uint64(i+1), fleet.Reached)
	}
	return v.Snapshot(now)
}

// simulateShedding has n servers judge requests that come at random ones, rate a second in all, for so long. A server can do 4
// seconds of work a second. It returns what was let in of each server's work, by whether it was outranked.
func simulateShedding(n int, rate, seconds float64, lie func(i int, l *fleet.Load)) (all []*Shedder, in, out []float64) {
	r := rand.New(rand.NewPCG(3, uint64(n)))
	loads := make([]fleet.Load, n)
	for range n {
		all = append(all, &Shedder{})
	}
	const step = 500 * time.Millisecond
	for now := step; now < time.Duration(seconds*float64(time.Second)); now += step {
		view := viewOf(n, now, func(i int) fleet.Load { return loads[i] })
		view.Members[0].Self = false // everybody looks at it
		in, out = make([]float64, n), make([]float64, n)
		for i, c := range all {
			mine := *view
			mine.Members = slices.Clone(view.Members)
			for k := range mine.Members {
				mine.Members[k].Self = mine.Members[k].Name == fmt.Sprint("n", i)
			}
			c.Tick(now, LocalLoad{ServiceRate: 4, Cores: 4, Busy: loads[i].Busy}, &mine, now)
		}
		for range int(rate * step.Seconds()) {
			i, work := r.IntN(n), 0.02+0.1*r.ExpFloat64()
			if all[i].Classify(1+2*r.Float64(), work, r.Float64(), false) == VerdictBelowThreshold {
				out[i] += work / step.Seconds()
			} else {
				in[i] += work / step.Seconds()
			}
		}
		for i, c := range all {
			offers := c.Demand()
			loads[i] = fleet.Load{Capacity: 4, ServiceRate: 4, Busy: min(in[i]/4, 1), Demand: string(offers.Append(nil))}
			if lie != nil {
				lie(i, &loads[i])
			}
		}
	}
	return all, in, out
}

// A fleet with room must refuse nothing for being outranked, and a full one must let in about what it can do, the same
// at all servers; one server whose word is wrong must neither starve the others nor flood them.
func TestShedderAdmitsCapacity(t *testing.T) {
	const n = 12
	sum := func(v []float64) (t float64) {
		for _, x := range v {
			t += x
		}
		return t
	}
	const work = 0.12 // of a request, in the mean
	for _, c := range []struct {
		what        string
		load        float64
		lie         func(int, *fleet.Load)
		least, most float64 // let in, of what all can do
	}{
		{"at a tenth", 0.1, nil, 0.07, 0.13},
		{"at 80%", 0.8, nil, 0.7, 0.9},
		{"at 150%", 1.5, nil, 0.85, 1.15},
		{"at 300%", 3, nil, 0.85, 1.15},
		{"a load ten times too high at 80%", 0.8, func(i int, l *fleet.Load) {
			if i == 3 {
				l.Demand = tenfold(l.Demand)
			}
		}, 0.7, 0.9},
		{"a load ten times too high at 150%", 1.5, func(i int, l *fleet.Load) {
			if i == 3 {
				l.Demand = tenfold(l.Demand)
			}
		}, 0.75, 1.15},
		{"a load too low", 1.5, func(i int, l *fleet.Load) {
			if i == 3 {
				l.Demand = ""
			}
		}, 0.85, 1.25},
		{"a pace a thousand times too high", 1.5, func(i int, l *fleet.Load) {
			if i == 3 {
				l.ServiceRate *= 1000
			}
		}, 0.85, 1.5},
	} {
		all, in, out := simulateShedding(n, c.load*n*4/work, 20, c.lie)
		got := sum(in) / (n * 4)
		require.True(t, got > c.least && got < c.most, "%s: %.2f of what can be done is let in", c.what, got)
		if c.load < 1 && c.lie == nil {
			require.Zero(t, sum(out), c.what)
		}
		for _, x := range all {
			require.True(t, x.Threshold().Known, c.what)
			require.InDelta(t, all[0].Threshold().Priority, x.Threshold().Priority, 4, c.what)
		}
	}
}

// tenfold makes an offer ten times as large.
func tenfold(offer string) string {
	b := []byte(offer)
	for i := 1; i < len(b); i++ {
		if b[i] > 0 {
			b[i] += byte(math.Round(demandStepsPerDoubling * math.Log2(10)))
		}
	}
	return string(b)
}

// Without word from others, with old words only, or cut off from most, nothing may be judged by them.
func TestShedderUnknownWithoutPeers(t *testing.T) {
	full := func(int) fleet.Load {
		return fleet.Load{Capacity: 4, ServiceRate: 4, Demand: string([]byte{10, 120, 120, 120})}
	}
	view := viewOf(4, time.Second, full)
	var c Shedder
	turn := func(s *fleet.Snapshot, at time.Duration) Verdict {
		c.Tick(at, LocalLoad{ServiceRate: 4, Cores: 4, Busy: 1}, s, at)
		return c.Classify(1, 5, 0, false)
	}
	require.Equal(t, VerdictBelowThreshold, turn(view, time.Second))
	require.Equal(t, VerdictUnknown, turn(view, time.Second+fleet.Fresh(4)+1), "words are old")
	require.Equal(t, 3, c.Threshold().Stale)
	require.Equal(t, VerdictBelowThreshold, turn(view, time.Second))
	cut := *view
	cut.Position = fleet.Partitioned
	require.Equal(t, VerdictUnknown, turn(&cut, time.Second))
	require.Equal(t, VerdictUnknown, turn(viewOf(1, time.Second, full), time.Second))
	for _, bad := range [][3]float64{{0, 1, 0}, {1, 0, 0}, {math.NaN(), 1, 0}, {1, math.Inf(1), 2}, {1, 1, math.NaN()}, {1e300, 1e-300, 1}} {
		c.Classify(bad[0], bad[1], bad[2], true) // must not fall
	}
}

// Whatever is told must come to about the same when it is read, take few bytes, and cut where a plain sort of it cuts.
// No word of a stranger may break the reading.
func TestDemandEncodingAndThreshold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Demand
		for range rapid.IntRange(0, 30).Draw(t, "bins") {
			o[rapid.IntRange(0, demandBins-1).Draw(t, "bin")] = rapid.Float64Range(2*minPublishedDemand, 1e4).Draw(t, "work")
		}
		b := o.Append(nil)
		require.LessOrEqual(t, len(b), fleet.MaxDemand)
		var back Demand
		back.addEncoded(string(b), 1)
		for i := range o {
			require.InEpsilon(t, o[i]+1e-12, back[i]+1e-12, 0.05)
		}
		require.InDelta(t, back.Total(), encodedDemandTotal(string(b)), 1e-6*back.Total())
		capacity := rapid.Float64Range(0.01, 1e5).Draw(t, "capacity")
		place, above := o.thresholdFor(capacity), 0.0
		for i, v := range o {
			above += v * min(max(float64(i+1)-place, 0), 1)
		}
		require.InDelta(t, min(capacity, o.Total()), above, 1e-6*o.Total()+1e-9)
		o.addEncoded(string(rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "noise")), 1)
	})
}

// Tries that nobody marks must be counted as the repeats that they are, within a stated error, by members that each see
// a part, though some reports are lost and a member that counts is gone in the middle.
func TestRetryCounterAccuracy(t *testing.T) {
	for _, c := range []struct {
		n           int
		again, lost float64 // chance of a further try; of a report to be lost
		off         float64 // that the count may be off
	}{{5, 0, 0, 0.01}, {5, 0.5, 0, 0.05}, {12, 0.3, 0, 0.05}, {12, 0.6, 0.05, 0.08}, {100, 0.4, 0, 0.05}} {
		r := rand.New(rand.NewPCG(5, uint64(c.n)))
		var all []*RetryCounter
		for range c.n {
			all = append(all, NewRetryCounter())
		}
		tries, firsts, gone := 0.0, 0.0, -1
		for now := time.Second; now < 20*time.Second; now += time.Second {
			if now == 10*time.Second {
				gone = 2 // what it has counted is lost, and what it would have counted goes to others
				all[gone] = NewRetryCounter()
			}
			for range 60 * c.n {
				fp := Fingerprint("preview", "k", "", r.IntN(6), r.Float64(), r.Float64())
				seen := false
				for {
					i := r.IntN(c.n)
					if i != gone {
						seen = true
						tries++
						all[i].Arrived(now, fp)
					}
					if r.Float64() >= c.again {
						break
					}
				}
				if seen {
					firsts++
				}
			}
			for i, x := range all {
				view := viewOf(c.n, now, func(int) fleet.Load { return fleet.Load{} })
				view.Members[0].Self = false
				for k := range view.Members {
					m := &view.Members[k]
					m.Self = m.Name == fmt.Sprint("n", i)
					if m.Name == fmt.Sprint("n", gone) {
						m.Liveness = fleet.Dead
					}
				}
				sent := x.Tick(now, view)
				require.LessOrEqual(t, len(sent), 4*targetReportRate)
				for _, rep := range sent {
					back, ok := ParseReport(AppendReport(nil, rep))
					require.True(t, ok)
					require.Equal(t, rep.Attempts, back)
					if r.Float64() >= c.lost {
						all[rep.To.Run-1].HandleReport(now, back)
					}
				}
			}
		}
		var sum, again float64
		for _, x := range all {
			sum += x.AttemptRate()
			again += x.AttemptRate() * x.RetryRatio()
			require.LessOrEqual(t, len(x.tracked), maxTrackedRequests)
		}
		exact := 1 - firsts/tries
		require.InDelta(t, exact, again/sum, c.off, "%d members, %.0f%% again", c.n, 100*c.again)
	}
	x := NewRetryCounter()
	require.False(t, x.Arrived(0, 7))
	x.Rejected(0, 7)
	require.True(t, x.Arrived(rejectionMemory-1, 7))
	require.False(t, x.Arrived(rejectionMemory, 7))
	for fp := range uint64(3 * maxRejections) {
		x.Rejected(0, fp)
	}
	require.Len(t, x.rejected, maxRejections)
}

func BenchmarkClassify(b *testing.B) {
	view := viewOf(300, time.Second, func(int) fleet.Load {
		return fleet.Load{Capacity: 4, ServiceRate: 4, Demand: string([]byte{10, 120, 120, 120})}
	})
	c, r, p := &Shedder{}, NewRetryCounter(), NewAgeEstimator()
	c.Tick(time.Second, LocalLoad{ServiceRate: 4, Cores: 4}, view, time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fp := Fingerprint("hires-crop", "0011223344556677", "", i&7, float64(i&1023)/1024, 0.09)
		age := p.Age(time.Second, "hires-crop", time.Duration(4000-(i&3)*(i&1023))*time.Millisecond)
		c.Classify(2, 0.09, 0.5, r.Arrived(time.Second, fp) || age > 0)
	}
}

func BenchmarkShedderTick(b *testing.B) {
	for _, n := range []int{10, 100, 300, 3000} {
		view := viewOf(n, time.Second, func(int) fleet.Load { return fleet.Load{Capacity: 4, ServiceRate: 4, Demand: string(make([]byte, 30))} })
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := &Shedder{}
			b.ReportAllocs()
			for b.Loop() {
				c.Tick(time.Second, LocalLoad{ServiceRate: 4, Cores: 4}, view, time.Second)
			}
		})
	}
}
