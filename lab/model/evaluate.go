package model

import (
	"time"

	"falldeal/lab/history"
)

const (
	faultSettlingTime = 4 * time.Second // calls at stores are counted only after this part of a fault has passed
	minOptimalValue   = 1e-9            // lower bound of a divisor, which must not be 0
)

// Result is the evaluation of one simulation. Ratios are plain numbers: 1 is 100%.
type Result struct {
	Strategy           string // name of the strategy; empty if it was not set by Compare
	Seed               uint64
	ValueRatio         float64       // value served, of the value of all requests
	OptimalRatio       float64       // value served, of the upper bound that history.OptimalValue computes
	AttemptsPerRequest float64       // mean
	RecoveryTime       time.Duration // from the end of the first fault; valid if HasRecovered
	HasRecovered       bool          // the ratio of value served was back at 95% of that before the first fault
	LateRatio          float64       // requests served after their latency objective, of all requests
	StoreCallRate      float64       // calls per second at all stores during the first fault, after faultSettlingTime
	MaxStoreCalls      int           // largest number of calls in flight at all stores during the same time
	Requests           int           // requests that completed
}

// Evaluate computes the result of a simulation with opts from its history. Recovery is that from the first fault in
// opts.Faults.
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

// addRecovery sets the fields that describe a fault and the recovery from it.
func (r *Result) addRecovery(fault *Fault, events []history.Event) {
	r.RecoveryTime, r.HasRecovered = history.RecoveryTime(events, fault.Start, fault.Start+fault.Duration)
	r.StoreCallRate, r.MaxStoreCalls = history.StoreLoadDuringFault(events, string(fault.Kind), faultSettlingTime)
}
