package overload

import (
	"math"
	"time"

	"falldeal/internal/fleet"
)

// Requests are ordered by what they earn for a second of work. Bins divide that order, evenly in the logarithm.
const (
	bins      = 48
	perOctave = 3
	lowest    = -4 // binary logarithm of what bin 0 earns
)

// How the cutoff is found. All of these are ours; the page on the cutoff has what was measured.
const (
	offersFade  = 2 * time.Second // time constant of what is offered
	fullFrom    = 1.0             // of what can be done, offered: the fleet is full
	fullUntil   = 0.9             // and is so until less than that is offered
	busyWanted  = 0.96            // use of the cores that is aimed at
	busyGain    = 2.0             // by how much more is let in for what is missing to that
	roomLeast   = 0.85            // bounds of what that makes of the capacity
	roomMost    = 1.3
	cutGain     = 0.5             // weight of a new cutoff
	readsMost   = 4.0             // nobody reads more work than that many times what it can do: reading costs a quarter of a run
	paceMost    = 4.0             // nor gets more done than that, a core
	RetryBudget = 0.1             // repeats, of the first tries of the fleet, that it bears while it is full
	repeatCosts = 1.0             // bins that a known repeat stands behind a first try that earns the same
	mostWork    = 1e4             // seconds of one request; what is said to be more is not believed
	sinkStep    = 1.5             // bins by which the cut sinks at a look once the fleet has room again
	spreadMost  = 4 * time.Second // over which callers are asked to come back, at most
	roomPart    = 0.05            // of what all can do, that is taken to be free for them at least
	firstsLeast = 0.4             // of what is offered, that is taken to be asked for the first time at least
	leastOffer  = 0.01            // seconds of work a second that are told of a bin at least
	offerStep   = 8               // steps for each doubling by which an offer is told
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
	x := perOctave * (math.Log2(value/work) - lowest)
	if !(x > 0) { // also what is no number
		x = 0
	}
	if rank > 0 {
		x += min(rank, 1)
	}
	return min(x, bins-1e-6)
}

// WeightAt is what a request at a place earns for a second of work, at most.
func WeightAt(place float64) float64 { return math.Exp2(place/perOctave + lowest) }

// Demand is the work that is asked of one server, by bin, in seconds a second.
type Demand [bins]float64

// Total is all of it.
func (o *Demand) Total() (t float64) {
	for _, v := range o {
		t += v
	}
	return t
}

// Append appends the offers as they are told: the first bin, and a byte for each one up to the last that has any.
func (o *Demand) Append(b []byte) []byte {
	first, last := bins, -1
	for i, v := range o {
		if v >= leastOffer {
			first, last = min(first, i), i
		}
	}
	if last < 0 {
		return b
	}
	b = append(b, byte(first))
	for _, v := range o[first : last+1] {
		q := 0.0
		if v >= leastOffer {
			q = min(1+math.Round(offerStep*math.Log2(v/leastOffer)), math.MaxUint8)
		}
		b = append(b, byte(q))
	}
	return b
}

func (o *Demand) scale(f float64) {
	for i := range o {
		o[i] *= f
	}
}

// told are the steps in which offers are told.
var told = func() (t [256]float64) {
	for q := 1; q < len(t); q++ {
		t[q] = leastOffer * math.Exp2(float64(q-1)/offerStep)
	}
	return t
}()

// add adds what a member has told, times a factor. What is no offer adds what of it can be one.
func (o *Demand) add(text string, factor float64) {
	if text == "" {
		return
	}
	for i, q := range []byte(text[1:]) {
		if at := int(text[0]) + i; at < bins {
			o[at] += factor * told[q]
		}
	}
}

// offered is the total of what a member has told.
func offered(text string) (t float64) {
	if text != "" {
		for _, q := range []byte(text[1:min(len(text), bins+1)]) {
			t += told[q]
		}
	}
	return t
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
func AggregateView(view *fleet.Snapshot, at time.Duration) (s Aggregate, whole bool) {
	if len(view.Members) >= sumsFrom {
		return sumOfZones(view, at), true
	}
	fresh := min(fleet.Fresh(len(view.Members)), wordsFresh)
	for i := range view.Members {
		m := &view.Members[i]
		if m.Self {
			continue
		}
		if !m.Serves(at, fresh) {
			if m.Liveness == fleet.Alive && m.Age(at) > fresh {
				s.Stale++
			}
			continue
		}
		part := AggregateOf(&m.Load)
		part.Oldest = m.Age(at)
		s.join(&part)
	}
	return s, false
}

// paceOf is what a server with so many cores is taken to get done.
func paceOf(pace, cores float64) float64 {
	if pace <= 0 {
		return cores
	}
	return min(pace, paceMost*cores)
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
	offers Demand  // seconds of work of what is not known to be a repeat, faded
	tries  float64 // faded, and those of them that are known to be repeats
	known  float64
	last   time.Duration
	begun  bool
	cut    Threshold
}

// RetryJitter is by how much longer a caller should stay away than the server would have it: requests with different
// fingerprints come back at different times.
func (c *Shedder) RetryJitter(fingerprint uint64) time.Duration {
	return time.Duration(float64(c.cut.Window) * float64(fingerprint>>11) / (1 << 53))
}

// Threshold is what was found last.
func (c *Shedder) Threshold() Threshold { return c.cut }

// Classify takes in a request that came to this server, and says what the fleet makes of it.
func (c *Shedder) Classify(value, work, rank float64, repeat bool) Verdict {
	if !(work > 0 && work < mostWork && value > 0) {
		return VerdictUnknown
	}
	place := Priority(value, work, rank)
	if c.tries++; repeat {
		c.known++
		place -= repeatCosts // and its work was counted with its first try
	} else {
		c.offers[int(place)] += work
	}
	switch {
	case !c.cut.Known:
		return VerdictUnknown
	case place < c.cut.Priority:
		return VerdictBelowThreshold
	case !c.cut.Full:
		return VerdictElsewhere
	case c.cut.OverRetryBudget:
		return VerdictFull
	}
	return VerdictElsewhere
}

// Demand is what is asked of this server.
func (c *Shedder) Demand() (o Demand) {
	for i, v := range c.offers {
		o[i] = v / offersFade.Seconds()
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
	if c.begun {
		f := math.Exp(-float64(now-c.last) / float64(offersFade))
		for i := range c.offers {
			c.offers[i] *= f
		}
		c.tries, c.known = c.tries*f, c.known*f
	}
	c.begun, c.last = true, now
	s, whole := AggregateView(view, at)
	if s.Members == 0 || view.Position == fleet.Partitioned || view.Position == fleet.Alone {
		c.cut = Threshold{Stale: s.Stale}
		return c.cut
	}
	if !whole {
		mine := Aggregate{Members: 1, Demand: c.Demand(), ServiceRate: paceOf(own.ServiceRate, own.Cores), Attempts: own.Attempts, Retries: own.Attempts * own.Retries}
		if own.Busy >= 0 {
			mine.Cores, mine.InUse = own.Cores, own.Cores*own.Busy
		}
		s.join(&mine)
	}
	was := c.cut
	if first := s.Attempts - s.Retries; first > 0 {
		s.Demand.scale(c.firsts(s.Retries / s.Attempts))
	}
	c.cut = Threshold{Known: true, Offered: s.Demand.Total(), ServiceRate: s.ServiceRate, Members: s.Members, Stale: s.Stale, Oldest: s.Oldest}
	if first := s.Attempts - s.Retries; first > 0 {
		c.cut.RetryRatio = s.Retries / first
	}
	least := fullFrom
	if was.Full {
		least = fullUntil
	}
	c.cut.Window = c.cut.window()
	if c.cut.Full = c.cut.Offered > least*s.ServiceRate; !c.cut.Full {
		c.cut.Priority = max(was.Priority-sinkStep, 0) // by steps: what was refused comes back now
		return c.cut
	}
	c.cut.OverRetryBudget = c.cut.RetryRatio > RetryBudget
	place := s.Demand.cut(s.ServiceRate * s.room())
	if was.Full {
		place = was.Priority + cutGain*(place-was.Priority)
	}
	c.cut.Priority = place
	return c.cut
}

// firsts is the part of what is offered that is asked for the first time, where so much of all tries are repeats: most of
// these are known and not among the offers, but one that comes at once after its refusal looks like a first try.
func (c *Shedder) firsts(again float64) float64 {
	known := c.known / max(c.tries, 1)
	return min(max((1-again)/max(1-known, 1e-3), firstsLeast), 1)
}

// window is how long the work of those that come again takes of what first tries leave free.
func (c *Threshold) window() time.Duration {
	again := c.Offered * c.RetryRatio * offersFade.Seconds()
	free := max(c.ServiceRate-c.Offered, roomPart*c.ServiceRate)
	return time.Duration(min(again/max(free, 1e-3), spreadMost.Seconds()) * float64(time.Second))
}

// room is by how much more than what all can do is let in: more while cores idle though the fleet is full, which the
// sums can't tell apart from requests that come again.
func (s *Aggregate) room() float64 {
	busy := s.Busy()
	if busy < 0 {
		return 1
	}
	return min(max(1+busyGain*(busyWanted-busy), roomLeast), roomMost)
}

// cut fills so much capacity from the top, and returns the place down to which it reaches.
func (o *Demand) cut(capacity float64) float64 {
	for i := bins - 1; i >= 0; i-- {
		if o[i] > capacity {
			return float64(i+1) - capacity/o[i]
		}
		capacity -= o[i]
	}
	return 0
}
