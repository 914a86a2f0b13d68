package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	retryPriorityPenalty = 1.0 // bins that a known retry ranks below a first attempt of the same value
	maxRequestWork       = 1e4 // seconds of one request; a larger claim is not believed
)

// Shedder finds the shedding threshold of the fleet and classifies requests by it.
//
// Each member adds up what all members have published: demand by bins of priority, service rate, cores in use and
// retries. The fleet is full while demand exceeds the service rate. Then the threshold is the priority down to which
// demand fits into the capacity, and requests below it are shed by every member that is short of cores. All members
// come to about the same threshold without a message, as they know about the same (see SheddingState).
//
// The zero value is ready for use. It belongs to one goroutine.
type Shedder struct {
	demand localDemand
	state  SheddingState
}

// RetryJitter returns the time to add to the Retry-After of a rejected request. It lies within the state's Window and
// depends on the fingerprint, so that clients don't all come back at once.
func (s *Shedder) RetryJitter(fingerprint uint64) time.Duration {
	const mantissaBits = 53
	fraction := float64(fingerprint>>(64-mantissaBits)) / (1 << mantissaBits)
	return time.Duration(float64(s.state.Window) * fraction)
}

// State returns the result of the last Tick.
func (s *Shedder) State() SheddingState { return s.state }

// Demand returns the demand at this server, in seconds of work a second.
func (s *Shedder) Demand() Demand { return s.demand.rate() }

// AddToLoad adds the demand and the threshold of this server to the load that it publishes.
func (s *Shedder) AddToLoad(load *fleet.Load) {
	demand := s.Demand()
	load.Demand = string(demand.Append(nil))
	load.Threshold = s.state.Threshold
}

// Classify counts a request that arrived at this server and returns the fleet's verdict on it. Work is in seconds; a
// request without valid work or value is neither counted nor known.
func (s *Shedder) Classify(value, work, rank float64, knownRetry bool) Verdict {
	valid := work > 0 && work < maxRequestWork && value > 0
	if !valid { // also if one is NaN
		return VerdictUnknown
	}
	priority := Priority(value, work, rank)
	s.demand.add(priority, work, knownRetry)
	if knownRetry {
		priority -= retryPriorityPenalty
	}
	return s.state.classify(priority)
}

// LocalLoad is the load of this server by its own measurements.
type LocalLoad struct {
	ServiceRate float64 // seconds of work completed a second; 0 = unknown
	Cores       float64
	Busy        float64 // part of the cores in use; -1 = unknown
	Attempts    float64 // a second
	Retries     float64 // part of the attempts that are retries
}

// aggregate returns the load and the demand of this server as an aggregate of one member.
func (l *LocalLoad) aggregate(demand Demand) Aggregate {
	aggregate := Aggregate{
		Members:     1,
		Demand:      demand,
		ServiceRate: boundedServiceRate(l.ServiceRate, l.Cores),
		Attempts:    l.Attempts,
		Retries:     l.Attempts * l.Retries,
	}
	if l.Busy >= 0 {
		aggregate.Cores = l.Cores
		aggregate.InUse = l.Cores * l.Busy
	}
	return aggregate
}

// Tick finds the threshold anew from what other members have published. It is called a few times a second. Now is on the
// clock of this server, at is the time of the view.
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

// connected reports whether a member is reached by enough of its fleet to decide for it.
func connected(view *fleet.Snapshot) bool {
	return view.Position != fleet.Partitioned && view.Position != fleet.Alone
}

// nextState returns the state for the load of the whole fleet, of which it corrects the demand for retries.
func (s *Shedder) nextState(total *Aggregate) SheddingState {
	if total.firstAttempts() > 0 {
		total.Demand.scale(firstAttemptRatio(total.Retries/total.Attempts, s.demand.knownRetryRatio()))
	}
	return s.state.next(total)
}
