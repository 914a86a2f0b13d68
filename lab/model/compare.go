package model

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
)

// Strategy is a named configuration of how a fleet handles overload.
type Strategy struct {
	Name      string
	Configure func(opts *Options) // sets the options of the strategy
}

// Strategies are the strategies that can be compared. The first one is the baseline.
var Strategies = []Strategy{
	{StrategyOff, func(*Options) {}},
	{"shedding by records", func(opts *Options) {
		opts.Shedding = true
		opts.Aggregates = false
	}},
	{"shedding by aggregates", func(opts *Options) {
		opts.Shedding = true
		opts.Aggregates = true
	}},
	{StrategySheddingAndProbes, func(opts *Options) {
		opts.Shedding = true
		opts.Aggregates = true
		opts.CoordinatedProbes = true
	}},
}

// Names of the strategies that code refers to.
const (
	StrategyOff               = "off"
	StrategySheddingAndProbes = "shedding and coordinated probes"
)

// comparisonHeader has the column headings of the table that Compare prints.
const comparisonHeader = "strategy\tvalue served\tgain: min\tmedian\tmax\tratio to optimum\tattempts per request\tlate\t" +
	"recovery time: median\tmax\tnever\tstore calls/s during fault\tmax in flight\t"

// Compare simulates a fleet with each strategy and each seed, on all cores of this machine. The seeds are consecutive and
// start with opts.Seed. The first strategy is the baseline.
//
// Compare prints one line for each strategy: means over the seeds; the minimum, median and maximum of the gain in
// ValueRatio over the baseline with the same seed; and recovery times. It returns the results ordered by strategy and,
// within a strategy, by seed.
func Compare(out io.Writer, opts Options, seeds int, strategies []Strategy) ([]Result, error) {
	results := runAll(opts, seeds, strategies)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, comparisonHeader)
	baseline := results[:seeds]
	for i, strategy := range strategies {
		summary := summarize(results[i*seeds:(i+1)*seeds], baseline)
		summary.print(table, strategy.Name)
	}
	if err := table.Flush(); err != nil {
		return nil, fmt.Errorf("write table: %w", err)
	}
	return results, nil
}

// runAll simulates and evaluates each strategy with each seed, in parallel. Its results have the order of those of Compare.
func runAll(opts Options, seeds int, strategies []Strategy) []Result {
	results := make([]Result, len(strategies)*seeds)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, strategy := range strategies {
		for seed := range seeds {
			group.Go(func() error {
				results[i*seeds+seed] = strategy.run(opts, opts.Seed+uint64(seed))
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return no error
	return results
}

// run simulates a fleet with the strategy and a seed, and evaluates the history.
func (s *Strategy) run(opts Options, seed uint64) Result {
	opts.Seed = seed
	s.Configure(&opts)
	result := Evaluate(opts, Run(opts))
	result.Strategy = s.Name
	return result
}

// strategySummary summarizes the results of one strategy over all seeds.
type strategySummary struct {
	count          int             // number of results
	total          Result          // sums over the results, of the fields that are printed as means
	gains          []float64       // in ValueRatio over the baseline with the same seed, in ascending order
	recoveryTimes  []time.Duration // of the simulations that recovered, in ascending order
	neverRecovered int             // simulations that did not recover by their end
	maxStoreCalls  int             // largest MaxStoreCalls of a result
}

// summarize summarizes the results of one strategy. The results of the baseline must have the same seeds in the same order.
func summarize(results, baseline []Result) *strategySummary {
	summary := &strategySummary{count: len(results)}
	for i := range results {
		result := &results[i]
		summary.total.ValueRatio += result.ValueRatio
		summary.total.OptimalRatio += result.OptimalRatio
		summary.total.AttemptsPerRequest += result.AttemptsPerRequest
		summary.total.LateRatio += result.LateRatio
		summary.total.StoreCallRate += result.StoreCallRate
		summary.maxStoreCalls = max(summary.maxStoreCalls, result.MaxStoreCalls)
		summary.gains = append(summary.gains, result.ValueRatio-baseline[i].ValueRatio)
		if result.HasRecovered {
			summary.recoveryTimes = append(summary.recoveryTimes, result.RecoveryTime)
		} else {
			summary.neverRecovered++
		}
	}
	slices.Sort(summary.gains)
	slices.Sort(summary.recoveryTimes)
	return summary
}

func (s *strategySummary) print(out io.Writer, name string) {
	n := float64(s.count)
	median, longest := s.recovery()
	fmt.Fprintf(out, "%s\t%.4f\t%+.4f\t%+.4f\t%+.4f\t%.3f\t%.2f\t%.3f\t%s\t%s\t%d\t%.1f\t%d\t\n",
		name, s.total.ValueRatio/n, s.gains[0], s.gains[len(s.gains)/2], s.gains[len(s.gains)-1],
		s.total.OptimalRatio/n, s.total.AttemptsPerRequest/n, s.total.LateRatio/n, median, longest, s.neverRecovered,
		s.total.StoreCallRate/n, s.maxStoreCalls)
}

// recovery returns the median and the longest recovery time as text, or "-" if no simulation recovered.
func (s *strategySummary) recovery() (median, longest string) {
	times := s.recoveryTimes
	if len(times) == 0 {
		return "-", "-"
	}
	return times[len(times)/2].String(), times[len(times)-1].String()
}
