package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	retryPriorityPenalty = 1.0 // bins by which a known retry has a lower priority than a first attempt of the request
	maxRequestWork       = 1e4 // seconds; a request that states this much work or more is not valid
)

// Shedder computes the shedding threshold of the fleet and classifies requests by it.
//
//   - Each member sums up what all members have published: demand by priority bin, service rate, cores in use and retries.
//   - The fleet is full while demand exceeds the service rate (with hysteresis, see overloadEnterRatio).
//   - While the fleet is full, the threshold is the priority down to which the demand fits into the capacity. Every member
//     that is short of CPU time sheds the requests below the threshold.
//
// The members agree on about the same threshold without a message, as they sum up about the same data.
//
// The zero value is ready for use. It belongs to one goroutine.
type Shedder struct {
	demand localDemand
	state  SheddingState // result of the last Tick
}

// RetryJitter returns the time to add to the Retry-After of a rejected request. It is spread over SheddingState.RetryWindow by
// the fingerprint, so that the rejected clients do not all retry at once.
func (s *Shedder) RetryJitter(fingerprint uint64) time.Duration {
	const mantissaBits = 53
	fraction := float64(fingerprint>>(64-mantissaBits)) / (1 << mantissaBits)
	return time.Duration(float64(s.state.RetryWindow) * fraction)
}

// State returns the result of the last Tick.
func (s *Shedder) State() SheddingState { return s.state }

// Demand returns the demand at this server, in seconds of work per second.
func (s *Shedder) Demand() Demand { return s.demand.rate() }

// AddToLoad adds the demand and the threshold of this server to the load that it publishes.
func (s *Shedder) AddToLoad(load *fleet.Load) {
	demand := s.Demand()
	load.Demand = string(demand.Append(nil))
	load.Threshold = s.state.Threshold
}

// Classify counts an attempt that arrived at this server, and returns the verdict on its request by the load of the fleet.
// The work is in seconds. An attempt with work or value that is not positive, or with work of maxRequestWork or more, is
// not counted, and its verdict is VerdictUnknown.
func (s *Shedder) Classify(value, work, rank float64, knownRetry bool) Verdict {
	valid := work > 0 && work < maxRequestWork && value > 0
	if !valid { // also if work or value is NaN
		return VerdictUnknown
	}
	priority := Priority(value, work, rank)
	s.demand.add(priority, work, knownRetry)
	if knownRetry {
		priority -= retryPriorityPenalty
	}
	return s.state.classify(priority)
}

// LocalLoad is the load of this server as the server itself measures it.
type LocalLoad struct {
	ServiceRate float64 // completed work in seconds of work per second; 0 = unknown
	Cores       float64
	Utilization float64 // ratio of the cores that are in use, 0 to 1; -1 = unknown
	AttemptRate float64 // attempts per second, retries included
	RetryRatio  float64 // ratio of the attempts that are retries, 0 to 1
}

// aggregate returns the load and the demand of this server as an aggregate of one member.
func (l *LocalLoad) aggregate(demand Demand) Aggregate {
	aggregate := Aggregate{
		Members:     1,
		Demand:      demand,
		ServiceRate: boundedServiceRate(l.ServiceRate, l.Cores),
		Attempts:    l.AttemptRate,
		Retries:     l.AttemptRate * l.RetryRatio,
	}
	if l.Utilization >= 0 {
		aggregate.Cores = l.Cores
		aggregate.CoresInUse = l.Cores * l.Utilization
	}
	return aggregate
}

// Tick computes the state from the load of this server and the loads that the members have published. The state is unknown if the
// view has no recent load of other members, or if this member is partitioned from most of them. Tick is to be called a few
// times a second. The time now is on the clock of this server, at is on the clock of the view.
func (s *Shedder) Tick(now time.Duration, own LocalLoad, view *fleet.Snapshot, at time.Duration) SheddingState {
	s.demand.decay(now)
	total, includesSelf := AggregateView(view, at)
	if total.Members == 0 || !connected(view) {
		s.state = SheddingState{Stale: total.Stale}
		return s.state
	}
	if !includesSelf {
		ownAggregate := own.aggregate(s.Demand())
		total.add(&ownAggregate)
	}
	s.state = s.nextState(&total)
	return s.state
}

// connected reports whether this member reaches enough of the fleet to know its load.
func connected(view *fleet.Snapshot) bool {
	return view.Position != fleet.Partitioned && view.Position != fleet.Alone
}

// nextState returns the state that follows from the load of the whole fleet. It first corrects total.Demand for retries.
func (s *Shedder) nextState(total *Aggregate) SheddingState {
	if total.firstAttempts() > 0 {
		total.Demand.scale(firstAttemptRatio(total.Retries/total.Attempts, s.demand.knownRetryRatio()))
	}
	return s.state.next(total)
}
