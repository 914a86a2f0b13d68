package model

import (
	"cmp"
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"falldeal/lab/history"

	"golang.org/x/sync/errgroup"
)

// Strategy is one way for a fleet to go about overload.
type Strategy struct {
	Name string
	Set  func(o *Options)
}

// Strategies are those that are compared.
var Strategies = []Strategy{
	{"off", func(o *Options) {}},
	{"cutoff, by words", func(o *Options) { o.Shedding, o.Aggregates = true, false }},
	{"cutoff, by sums", func(o *Options) { o.Shedding, o.Aggregates = true, true }},
	{"cutoff and probes", func(o *Options) { o.Shedding, o.Aggregates, o.CoordinatedProbes = true, true, true }},
}

// Result is what came of one day.
type Result struct {
	Strategy                                     string
	Seed                                         uint64
	ValueRatio, OptimalRatio, AttemptsPerRequest float64 // share of the worth served, and of that of a policy that sees all; tries for each request
	RecoveryTime                                 time.Duration
	HasRecovered                                 bool // service came back to 95% of what it was before
	LateRatio                                    float64
	StoreCallRate                                float64 // calls a second at stores that are mute
	MaxStoreCalls                                int     // in hand at once at mute stores
	Requests                                     int
}

// Evaluate sums up a day whose trouble is the first fault of its options.
func Evaluate(o Options, events []history.Event) Result {
	r := Result{Seed: o.Seed}
	s := history.SummarizeRequests(events)[""]
	if s == nil {
		return r
	}
	r.Requests, r.ValueRatio, r.AttemptsPerRequest = s.Requests, s.ValueServed/s.Value, float64(s.Attempts)/float64(s.Requests)
	r.LateRatio = float64(s.Late) / float64(s.Requests)
	r.OptimalRatio = s.ValueServed / max(history.OptimalValue(events, TotalCores(o)*o.Duration.Seconds()), 1e-9)
	if len(o.Faults) > 0 {
		f := o.Faults[0]
		r.RecoveryTime, r.HasRecovered = history.RecoveryTime(events, f.Start, f.Start+f.Duration)
		r.StoreCallRate, r.MaxStoreCalls = history.StoreLoadDuringFault(events, f.Kind, 4*time.Second)
	}
	return r
}

// Compare plays a day with so many seeds in each of some ways, on all cores, and prints a line for each way: the mean of
// the seeds, with the least and the most of the worth that is gained over the first way, seed by seed.
func Compare(out io.Writer, o Options, seeds int, ways []Strategy) ([]Result, error) {
	results := make([]Result, len(ways)*seeds)
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, w := range ways {
		for k := range seeds {
			g.Go(func() error {
				p := o
				p.Seed = o.Seed + uint64(k)
				w.Set(&p)
				r := Evaluate(p, Run(p))
				r.Strategy = w.Name
				results[i*seeds+k] = r
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\tworth served\tgained: least\tmedian\tmost\tof a central policy\ttries each\tlate\tback at 95% after: median\tmost\tnever\tcalls/s at mute stores\tin hand there\t")
	for i, w := range ways {
		all := results[i*seeds : (i+1)*seeds]
		var worth, central, tries, late, rate float64
		var gains []float64
		var back []time.Duration
		never, most := 0, 0
		for k, r := range all {
			worth, central, tries, late, rate = worth+r.ValueRatio, central+r.OptimalRatio, tries+r.AttemptsPerRequest, late+r.LateRatio, rate+r.StoreCallRate
			gains = append(gains, r.ValueRatio-results[k].ValueRatio)
			most = max(most, r.MaxStoreCalls)
			if r.HasRecovered {
				back = append(back, r.RecoveryTime)
			} else {
				never++
			}
		}
		slices.Sort(gains)
		slices.SortFunc(back, cmp.Compare)
		after, last := "-", "-"
		if len(back) > 0 {
			after, last = back[len(back)/2].String(), back[len(back)-1].String()
		}
		n := float64(seeds)
		fmt.Fprintf(t, "%s\t%.4f\t%+.4f\t%+.4f\t%+.4f\t%.3f\t%.2f\t%.3f\t%s\t%s\t%d\t%.1f\t%d\t\n", w.Name, worth/n, gains[0], gains[len(gains)/2], gains[len(gains)-1],
			central/n, tries/n, late/n, after, last, never, rate/n, most)
	}
	return results, t.Flush()
}
