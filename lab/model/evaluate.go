package model

import (
	"time"

	"falldeal/lab/history"
)

const (
	faultSettlingTime = 4 * time.Second // from the start of a fault until the load at stores is counted
	minOptimalValue   = 1e-9            // so that no ratio divides by 0
)

// Result is the evaluation of one simulation.
type Result struct {
	Strategy           string
	Seed               uint64
	ValueRatio         float64 // served, of the value of all requests
	OptimalRatio       float64 // served, of what a central policy with full knowledge would serve
	AttemptsPerRequest float64
	RecoveryTime       time.Duration
	HasRecovered       bool // service was back at 95% of that before the fault, after RecoveryTime
	LateRatio          float64
	StoreCallRate      float64 // calls a second at unresponsive stores
	MaxStoreCalls      int     // in flight at a time at unresponsive stores
	Requests           int
}

// Evaluate sums up the history of a simulation. The first of its faults is the one to recover from.
func Evaluate(opts Options, events []history.Event) Result {
	result := Result{Seed: opts.Seed}
	summary := history.SummarizeRequests(events)[""]
	if summary == nil {
		return result
	}
	requests := float64(summary.Requests)
	result.Requests = summary.Requests
	result.ValueRatio = summary.ValueServed / summary.Value
	result.AttemptsPerRequest = float64(summary.Attempts) / requests
	result.LateRatio = float64(summary.Late) / requests
	optimalValue := history.OptimalValue(events, TotalCores(opts)*opts.Duration.Seconds())
	result.OptimalRatio = summary.ValueServed / max(optimalValue, minOptimalValue)
	if len(opts.Faults) > 0 {
		result.addRecovery(&opts.Faults[0], events)
	}
	return result
}

func (r *Result) addRecovery(fault *Fault, events []history.Event) {
	r.RecoveryTime, r.HasRecovered = history.RecoveryTime(events, fault.Start, fault.Start+fault.Duration)
	r.StoreCallRate, r.MaxStoreCalls = history.StoreLoadDuringFault(events, string(fault.Kind), faultSettlingTime)
}
