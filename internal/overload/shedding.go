package overload

import (
	"math"
	"time"

	"falldeal/internal/fleet"
)

// RetryBudget is the number of retries for each first attempt that a full fleet tolerates.
const RetryBudget = 0.1

// Tuning of the shedding threshold. The values are our own; docs/load-shedding.md has the measurements.
const (
	demandTimeConstant   = 2 * time.Second // of the mean of demand
	overloadEnterRatio   = 1.0             // of demand to service rate, above which the fleet is full
	overloadExitRatio    = 0.9             // and down to which it stays so
	targetUtilization    = 0.96            // of the cores
	utilizationGain      = 2.0             // capacity that is added for each part of utilization short of the target
	minCapacityFactor    = 0.85
	maxCapacityFactor    = 1.3
	thresholdGain        = 0.5 // weight of a new threshold against the previous one
	thresholdDecayStep   = 1.5 // bins by which the threshold falls at each tick once the fleet has capacity again
	retryPriorityPenalty = 1.0 // bins that a known retry ranks below a first attempt of the same value
	maxRequestWork       = 1e4 // seconds of one request; a larger claim is not believed
	maxRetryWindow       = 4 * time.Second
	minFreeCapacityRatio = 0.05 // of the service rate, assumed to be free for retries at least
	minFirstAttemptRatio = 0.4  // of the demand, assumed to be first attempts at least
	minDivisor           = 1e-3 // keeps quotients finite
)

// Verdict is the fleet's view of a request.
type Verdict uint8

// The verdicts on a request.
const (
	VerdictUnknown        Verdict = iota // nothing is known of other members: this server decides by its own load
	VerdictHasCapacity                   // the fleet has capacity: if this server rejects the request, another runs it
	VerdictFleetFull                     // the fleet is full and over its retry budget: a rejected client should not retry
	VerdictBelowThreshold                // the request is below the threshold: no member runs it while cores are short
)

var verdictNames = [...]string{"unknown", "elsewhere", "full", "below threshold"}

func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return verdictNames[VerdictUnknown]
	}
	return verdictNames[v]
}

// SheddingState is what a member knows of the load of its fleet, and the shedding threshold that follows from it.
type SheddingState struct {
	Known           bool // there are recent updates, and this member is not partitioned from most others
	Full            bool
	Threshold       float64       // requests of lower priority are below the threshold; 0 = none are
	Offered         float64       // demand of the fleet, corrected for retries, in seconds of work a second
	ServiceRate     float64       // that the fleet completes, in seconds of work a second
	RetryRatio      float64       // retries for each first attempt in the fleet
	OverRetryBudget bool          // RetryRatio exceeds RetryBudget while the fleet is full
	Window          time.Duration // over which rejected clients should spread their retries, to fit into free capacity
	Members         int           // whose updates count, this one included
	Stale           int           // members whose updates are too old
	Oldest          time.Duration // age of the oldest update that counts
}

// Shedder finds the shedding threshold of the fleet and classifies requests by it. The zero value is ready for use. It
// belongs to one goroutine.
type Shedder struct {
	demand       Demand  // decayed sum of seconds of work, without known retries
	attempts     float64 // decayed
	knownRetries float64 // decayed; part of attempts
	lastTick     time.Duration
	started      bool
	state        SheddingState
}

// RetryJitter returns the time to add to the Retry-After of a rejected request. It lies within the threshold's Window
// and depends on the fingerprint, so that clients don't all come back at once.
func (s *Shedder) RetryJitter(fingerprint uint64) time.Duration {
	const mantissaBits = 53
	fraction := float64(fingerprint>>(64-mantissaBits)) / (1 << mantissaBits)
	return time.Duration(float64(s.state.Window) * fraction)
}

// State returns the result of the last Tick.
func (s *Shedder) State() SheddingState { return s.state }

// Classify counts a request that arrived at this server and returns the fleet's verdict on it. Work is in seconds; a
// request without valid work or value is neither counted nor known.
func (s *Shedder) Classify(value, work, rank float64, knownRetry bool) Verdict {
	if !(work > 0 && work < maxRequestWork && value > 0) {
		return VerdictUnknown
	}
	priority := Priority(value, work, rank)
	s.attempts++
	if knownRetry {
		s.knownRetries++
		priority -= retryPriorityPenalty // its work was counted with the first attempt
	} else {
		s.demand[int(priority)] += work
	}
	return s.state.classify(priority)
}

func (s *SheddingState) classify(priority float64) Verdict {
	switch {
	case !s.Known:
		return VerdictUnknown
	case priority < s.Threshold:
		return VerdictBelowThreshold
	case s.Full && s.OverRetryBudget:
		return VerdictFleetFull
	}
	return VerdictHasCapacity
}

// Demand returns the demand at this server.
func (s *Shedder) Demand() (demand Demand) {
	for bin, work := range s.demand {
		demand[bin] = work / demandTimeConstant.Seconds()
	}
	return demand
}

// LocalLoad is the load of this server by its own measurements.
type LocalLoad struct {
	ServiceRate, Cores, Busy float64 // Busy is the part of the cores in use; -1 = unknown
	Attempts, Retries        float64 // attempts a second, and the part of them that are retries
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
		aggregate.Cores, aggregate.InUse = l.Cores, l.Cores*l.Busy
	}
	return aggregate
}

// Tick finds the threshold anew from what other members have published. It is called a few times a second. Now is on the
// clock of this server, at is the time of the view.
func (s *Shedder) Tick(now time.Duration, own LocalLoad, view *fleet.Snapshot, at time.Duration) SheddingState {
	s.decay(now)
	total, includesSelf := AggregateView(view, at)
	if total.Members == 0 || view.Position == fleet.Partitioned || view.Position == fleet.Alone {
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

// decay ages what was counted since the last tick.
func (s *Shedder) decay(now time.Duration) {
	if s.started {
		factor := decayFactor(now-s.lastTick, demandTimeConstant)
		s.demand.scale(factor)
		s.attempts *= factor
		s.knownRetries *= factor
	}
	s.started, s.lastTick = true, now
}

// decayFactor returns what is left of a decaying sum.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// nextState returns the threshold for the load of the whole fleet, of which it corrects the demand for retries.
func (s *Shedder) nextState(total *Aggregate) SheddingState {
	previous := &s.state
	firstAttempts := total.Attempts - total.Retries
	if firstAttempts > 0 {
		total.Demand.scale(s.firstAttemptRatio(total.Retries / total.Attempts))
	}
	next := SheddingState{
		Known:       true,
		Offered:     total.Demand.Total(),
		ServiceRate: total.ServiceRate,
		Members:     total.Members,
		Stale:       total.Stale,
		Oldest:      total.Oldest,
	}
	if firstAttempts > 0 {
		next.RetryRatio = total.Retries / firstAttempts
	}
	next.Window = next.retryWindow()
	next.Full = next.Offered > previous.fullRatio()*total.ServiceRate
	if !next.Full {
		// The threshold falls in steps, as the clients that were rejected come back now.
		next.Threshold = max(previous.Threshold-thresholdDecayStep, 0)
		return next
	}
	next.OverRetryBudget = next.RetryRatio > RetryBudget
	next.Threshold = total.Demand.thresholdFor(total.ServiceRate * total.capacityFactor())
	if previous.Full {
		next.Threshold = previous.Threshold + thresholdGain*(next.Threshold-previous.Threshold)
	}
	return next
}

// firstAttemptRatio returns the part of the demand that is due to first attempts, given the part of all attempts that are
// retries. Most retries are known and not counted as demand, but one that follows its rejection at once looks like a
// first attempt.
func (s *Shedder) firstAttemptRatio(retryRatio float64) float64 {
	knownRatio := s.knownRetries / max(s.attempts, 1)
	return min(max((1-retryRatio)/max(1-knownRatio, minDivisor), minFirstAttemptRatio), 1)
}

// fullRatio returns the ratio of demand to service rate above which the fleet is full next.
func (s *SheddingState) fullRatio() float64 {
	if s.Full {
		return overloadExitRatio
	}
	return overloadEnterRatio
}

// retryWindow returns how long the free capacity needs for the work of the retries.
func (s *SheddingState) retryWindow() time.Duration {
	retryWork := s.Offered * s.RetryRatio * demandTimeConstant.Seconds()
	free := max(s.ServiceRate-s.Offered, minFreeCapacityRatio*s.ServiceRate)
	return time.Duration(min(retryWork/max(free, minDivisor), maxRetryWindow.Seconds()) * float64(time.Second))
}

// capacityFactor returns by how much the admitted demand exceeds the service rate. It is more than 1 while cores idle
// although the fleet is full, since demand then includes retries that look like first attempts.
func (a *Aggregate) capacityFactor() float64 {
	busy := a.Busy()
	if busy < 0 {
		return 1
	}
	return min(max(1+utilizationGain*(targetUtilization-busy), minCapacityFactor), maxCapacityFactor)
}
