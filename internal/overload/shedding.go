package overload

import (
	"math"
	"time"

	"falldeal/internal/fleet"
)

// Requests are ordered by what they earn for a second of work. Bins divide that order, evenly in the logarithm.
const (
	demandBins     = 48
	binsPerOctave  = 3
	lowestExponent = -4 // binary logarithm of what bin 0 earns
)

// How the cutoff is found. All of these are ours; the page on the cutoff has what was measured.
const (
	demandTimeConstant     = 2 * time.Second // time constant of what is offered
	overloadEnterRatio     = 1.0             // of what can be done, offered: the fleet is full
	overloadExitRatio      = 0.9             // and is so until less than that is offered
	targetUtilization      = 0.96            // use of the cores that is aimed at
	utilizationGain        = 2.0             // by how much more is let in for what is missing to that
	minCapacityFactor      = 0.85            // bounds of what that makes of the capacity
	maxCapacityFactor      = 1.3
	thresholdGain          = 0.5             // weight of a new cutoff
	maxDemandFactor        = 4.0             // nobody reads more work than that many times what it can do: reading costs a quarter of a run
	maxServiceRatePerCore  = 4.0             // nor gets more done than that, a core
	RetryBudget            = 0.1             // repeats, of the first tries of the fleet, that it bears while it is full
	retryPriorityPenalty   = 1.0             // bins that a known repeat stands behind a first try that earns the same
	maxRequestWork         = 1e4             // seconds of one request; what is said to be more is not believed
	thresholdDecayStep     = 1.5             // bins by which the cut sinks at a look once the fleet has room again
	maxRetryWindow         = 4 * time.Second // over which callers are asked to come back, at most
	minFreeCapacityRatio   = 0.05            // of what all can do, that is taken to be free for them at least
	minFirstAttemptRatio   = 0.4             // of what is offered, that is taken to be asked for the first time at least
	minPublishedDemand     = 0.01            // seconds of work a second that are told of a bin at least
	demandStepsPerDoubling = 8               // steps for each doubling by which an offer is told
)

// Verdict is what the fleet makes of a request.
type Verdict uint8

const (
	VerdictUnknown        Verdict = iota // nothing is known of others: this server goes by what it sees
	VerdictElsewhere                     // the fleet has room: if not here, somebody else runs it
	VerdictFull                          // the fleet is full, and this is worth its place; if not here, it should not go round
	VerdictBelowThreshold                // while cores are short nobody runs it
)

// Priority is where a request stands in the order, from 0 to under bins: by its worth for a second of work, and among
// equals by rank, so that all servers cut the same ones.
func Priority(value, work, rank float64) float64 {
	priority := binsPerOctave * (math.Log2(value/work) - lowestExponent)
	if !(priority > 0) { // also what is no number
		priority = 0
	}
	if rank > 0 {
		priority += min(rank, 1)
	}
	return min(priority, demandBins-1e-6)
}

// WeightAt is what a request at a place earns for a second of work, at most.
func WeightAt(priority float64) float64 { return math.Exp2(priority/binsPerOctave + lowestExponent) }

// Demand is the work that is asked of one server, by bin, in seconds a second.
type Demand [demandBins]float64

// Total is all of it.
func (o *Demand) Total() (total float64) {
	for _, v := range o {
		total += v
	}
	return total
}

// Append appends the offers as they are told: the first bin, and a byte for each one up to the last that has any.
func (o *Demand) Append(b []byte) []byte {
	first, last := demandBins, -1
	for i, v := range o {
		if v >= minPublishedDemand {
			first, last = min(first, i), i
		}
	}
	if last < 0 {
		return b
	}
	b = append(b, byte(first))
	for _, v := range o[first : last+1] {
		step := 0.0
		if v >= minPublishedDemand {
			step = min(1+math.Round(demandStepsPerDoubling*math.Log2(v/minPublishedDemand)), math.MaxUint8)
		}
		b = append(b, byte(step))
	}
	return b
}

func (o *Demand) scale(factor float64) {
	for i := range o {
		o[i] *= factor
	}
}

// demandSteps are the steps in which offers are told.
var demandSteps = func() (t [256]float64) {
	for q := 1; q < len(t); q++ {
		t[q] = minPublishedDemand * math.Exp2(float64(q-1)/demandStepsPerDoubling)
	}
	return t
}()

// addEncoded adds what a member has told, times a factor. What is no offer adds what of it can be one.
func (o *Demand) addEncoded(encoded string, factor float64) {
	if encoded == "" {
		return
	}
	for i, step := range []byte(encoded[1:]) {
		if bin := int(encoded[0]) + i; bin < demandBins {
			o[bin] += factor * demandSteps[step]
		}
	}
}

// encodedDemandTotal is the total of what a member has told.
func encodedDemandTotal(encoded string) (total float64) {
	if encoded != "" {
		for _, step := range []byte(encoded[1:min(len(encoded), demandBins+1)]) {
			total += demandSteps[step]
		}
	}
	return total
}

// Aggregate is what the members that serve have told of work, as far as it is fresh.
type Aggregate struct {
	Members, Stale    int
	Demand            Demand
	ServiceRate       float64       // seconds of work that all get done in a second
	Cores, InUse      float64       // of the members that know, and how many of these are in use
	Attempts, Retries float64       // a second, and those of them that are repeats
	Oldest            time.Duration // age of the oldest word that counts
}

// Busy is the share of the cores in use; -1 = nobody knows.
func (s *Aggregate) Busy() float64 {
	if s.Cores <= 0 {
		return -1
	}
	return s.InUse / s.Cores
}

// AggregateView adds up the words in a view. Self is left out of a small fleet's: the caller knows better. In a large one it is
// in the sum of its zone, and whole is true. One member's word is bounded by what a server can do, so that one that is
// wrong does not decide for all.
func AggregateView(view *fleet.Snapshot, at time.Duration) (total Aggregate, includesSelf bool) {
	if len(view.Members) >= minMembersForCollectors {
		return aggregateZones(view, at), true
	}
	maxAge := min(fleet.Fresh(len(view.Members)), loadMaxAge)
	for i := range view.Members {
		member := &view.Members[i]
		if member.Self {
			continue
		}
		if !member.Serves(at, maxAge) {
			if member.Liveness == fleet.Alive && member.Age(at) > maxAge {
				total.Stale++
			}
			continue
		}
		memberAggregate := AggregateOf(&member.Load)
		memberAggregate.Oldest = member.Age(at)
		total.add(&memberAggregate)
	}
	return total, false
}

// boundedServiceRate is what a server with so many cores is taken to get done.
func boundedServiceRate(serviceRate, cores float64) float64 {
	if serviceRate <= 0 {
		return cores
	}
	return min(serviceRate, maxServiceRatePerCore*cores)
}

// Threshold is where the fleet stands, as one member has it.
type Threshold struct {
	Known           bool // others were heard of lately, and this member is not cut off from most of them
	Full            bool
	Priority        float64       // what stands lower is outranked; 0 = nothing is
	Offered         float64       // seconds of work a second that all are asked for, repeats included
	ServiceRate     float64       // that all can do
	RetryRatio      float64       // repeats for each first try of all
	OverRetryBudget bool          // and these are more than the budget
	Window          time.Duration // over which those that were refused should come back: their work takes it of what is free
	Members         int           // whose words count, this one included
	Stale           int           // whose words were too old
	Oldest          time.Duration // age of the oldest word that counts
}

// Shedder finds where the fleet cuts, and judges requests by it. It belongs to one goroutine.
type Shedder struct {
	demand       Demand  // seconds of work of what is not known to be a repeat, faded
	attempts     float64 // faded, and those of them that are known to be repeats
	knownRetries float64
	lastTick     time.Duration
	started      bool
	threshold    Threshold
}

// RetryJitter is by how much longer a caller should stay away than the server would have it: requests with different
// fingerprints come back at different times.
func (c *Shedder) RetryJitter(fingerprint uint64) time.Duration {
	return time.Duration(float64(c.threshold.Window) * float64(fingerprint>>11) / (1 << 53))
}

// Threshold is what was found last.
func (c *Shedder) Threshold() Threshold { return c.threshold }

// Classify takes in a request that came to this server, and says what the fleet makes of it.
func (c *Shedder) Classify(value, work, rank float64, knownRetry bool) Verdict {
	if !(work > 0 && work < maxRequestWork && value > 0) {
		return VerdictUnknown
	}
	priority := Priority(value, work, rank)
	if c.attempts++; knownRetry {
		c.knownRetries++
		priority -= retryPriorityPenalty // and its work was counted with its first try
	} else {
		c.demand[int(priority)] += work
	}
	switch {
	case !c.threshold.Known:
		return VerdictUnknown
	case priority < c.threshold.Priority:
		return VerdictBelowThreshold
	case !c.threshold.Full:
		return VerdictElsewhere
	case c.threshold.OverRetryBudget:
		return VerdictFull
	}
	return VerdictElsewhere
}

// Demand is what is asked of this server.
func (c *Shedder) Demand() (o Demand) {
	for i, v := range c.demand {
		o[i] = v / demandTimeConstant.Seconds()
	}
	return o
}

// LocalLoad is what this server knows of itself.
type LocalLoad struct {
	ServiceRate, Cores, Busy float64 // Busy: -1 = unknown
	Attempts, Retries        float64 // a second, and the part of them that are repeats
}

// Tick is taken a few times a second: what was offered fades, and the cutoff is found anew from what others told.
func (c *Shedder) Tick(now time.Duration, own LocalLoad, view *fleet.Snapshot, at time.Duration) Threshold {
	if c.started {
		decay := math.Exp(-float64(now-c.lastTick) / float64(demandTimeConstant))
		for i := range c.demand {
			c.demand[i] *= decay
		}
		c.attempts, c.knownRetries = c.attempts*decay, c.knownRetries*decay
	}
	c.started, c.lastTick = true, now
	aggregate, includesSelf := AggregateView(view, at)
	if aggregate.Members == 0 || view.Position == fleet.Partitioned || view.Position == fleet.Alone {
		c.threshold = Threshold{Stale: aggregate.Stale}
		return c.threshold
	}
	if !includesSelf {
		ownAggregate := Aggregate{Members: 1, Demand: c.Demand(), ServiceRate: boundedServiceRate(own.ServiceRate, own.Cores), Attempts: own.Attempts, Retries: own.Attempts * own.Retries}
		if own.Busy >= 0 {
			ownAggregate.Cores, ownAggregate.InUse = own.Cores, own.Cores*own.Busy
		}
		aggregate.add(&ownAggregate)
	}
	previous := c.threshold
	if firstAttempts := aggregate.Attempts - aggregate.Retries; firstAttempts > 0 {
		aggregate.Demand.scale(c.firstAttemptRatio(aggregate.Retries / aggregate.Attempts))
	}
	c.threshold = Threshold{Known: true, Offered: aggregate.Demand.Total(), ServiceRate: aggregate.ServiceRate, Members: aggregate.Members, Stale: aggregate.Stale, Oldest: aggregate.Oldest}
	if firstAttempts := aggregate.Attempts - aggregate.Retries; firstAttempts > 0 {
		c.threshold.RetryRatio = aggregate.Retries / firstAttempts
	}
	enterRatio := overloadEnterRatio
	if previous.Full {
		enterRatio = overloadExitRatio
	}
	c.threshold.Window = c.threshold.retryWindow()
	if c.threshold.Full = c.threshold.Offered > enterRatio*aggregate.ServiceRate; !c.threshold.Full {
		c.threshold.Priority = max(previous.Priority-thresholdDecayStep, 0) // by steps: what was refused comes back now
		return c.threshold
	}
	c.threshold.OverRetryBudget = c.threshold.RetryRatio > RetryBudget
	priority := aggregate.Demand.thresholdFor(aggregate.ServiceRate * aggregate.capacityFactor())
	if previous.Full {
		priority = previous.Priority + thresholdGain*(priority-previous.Priority)
	}
	c.threshold.Priority = priority
	return c.threshold
}

// firstAttemptRatio is the part of what is offered that is asked for the first time, where so much of all tries are repeats: most of
// these are known and not among the offers, but one that comes at once after its refusal looks like a first try.
func (c *Shedder) firstAttemptRatio(retryRatio float64) float64 {
	knownRatio := c.knownRetries / max(c.attempts, 1)
	return min(max((1-retryRatio)/max(1-knownRatio, 1e-3), minFirstAttemptRatio), 1)
}

// retryWindow is how long the work of those that come again takes of what first tries leave free.
func (c *Threshold) retryWindow() time.Duration {
	retryDemand := c.Offered * c.RetryRatio * demandTimeConstant.Seconds()
	free := max(c.ServiceRate-c.Offered, minFreeCapacityRatio*c.ServiceRate)
	return time.Duration(min(retryDemand/max(free, 1e-3), maxRetryWindow.Seconds()) * float64(time.Second))
}

// capacityFactor is by how much more than what all can do is let in: more while cores idle though the fleet is full, which the
// sums can't tell apart from requests that come again.
func (s *Aggregate) capacityFactor() float64 {
	busy := s.Busy()
	if busy < 0 {
		return 1
	}
	return min(max(1+utilizationGain*(targetUtilization-busy), minCapacityFactor), maxCapacityFactor)
}

// thresholdFor fills so much capacity from the top, and returns the place down to which it reaches.
func (o *Demand) thresholdFor(capacity float64) float64 {
	for i := demandBins - 1; i >= 0; i-- {
		if o[i] > capacity {
			return float64(i+1) - capacity/o[i]
		}
		capacity -= o[i]
	}
	return 0
}
