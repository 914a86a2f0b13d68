package overload

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"falldeal/internal/fleet"

	"github.com/cespare/xxhash/v2"
)

// Repeats are not marked, and a further try goes to another server, so that nobody sees both. What stays the same over
// all tries of a request gives a fingerprint. Of all fingerprints the same small part is followed everywhere: each
// server reports the tries of those to the member that the fingerprint itself names (rendezvous hashing over the
// view), and that one counts how many tries there are for each request. Nothing is ever exchanged but a bounded number
// of reports a second, and no clock is compared.
const (
	reportsWanted = 16              // a second by each server, at most about
	leastSample   = 1               // of so many fingerprints one is followed
	mostSample    = 1 << 12         // at least
	countFor      = 8 * time.Second // for which a request's tries are counted together
	mostCounted   = 4096            // requests whose tries are counted here
	refusedFor    = 4 * time.Second // for which a refused request is remembered
	mostRefused   = 4096
	againFades    = 5 * time.Second // time constant of what is counted
	againNeeds    = 4.0             // requests, faded, below which nothing is said
	mostReport    = 32              // tries in one message
)

// Fingerprint of a request: what is the same in all of its tries, and seldom the same in two requests.
func Fingerprint(class, key, once string, caller int, rank, cost float64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], uint64(caller))
	binary.LittleEndian.PutUint64(b[8:], math.Float64bits(rank))
	binary.LittleEndian.PutUint64(b[16:], math.Float64bits(cost))
	h := xxhash.Sum64(b[:])
	for _, s := range [...]string{class, key, once} {
		h = h*0x9e3779b97f4a7c15 + xxhash.Sum64String(s)
	}
	return mix(h)
}

// mix is the end of splitmix64 (Steele, Lea, Flood 2014): every bit of the result depends on all of h.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Report tells of tries, to the member that counts them.
type Report struct {
	To       ProcessID
	Attempts []uint64 // fingerprints; twice for two tries
}

// counted is a request whose tries are counted.
type counted struct {
	until time.Duration
	tries int
}

// RetryCounter counts how many tries there are for each request, and remembers what was refused here. It belongs to one
// goroutine.
type RetryCounter struct {
	sample  uint64 // of so many fingerprints one is followed here
	pending []uint64
	arrived float64 // tries since the last turn
	rate    float64 // tries a second
	last    time.Duration
	begun   bool

	counts   map[uint64]counted
	order    []uint64 // of counts, oldest first
	firsts   float64  // requests counted, faded, and all their tries
	all      float64
	refused  map[uint64]time.Duration
	refusals []uint64 // in order
}

// NewRetryCounter returns an empty count.
func NewRetryCounter() *RetryCounter {
	return &RetryCounter{sample: leastSample, counts: map[uint64]counted{}, refused: map[uint64]time.Duration{}}
}

// Arrived takes in a try, and reports whether it is known to be one of a request that was refused here.
func (r *RetryCounter) Arrived(now time.Duration, fp uint64) (known bool) {
	r.arrived++
	if fp%r.sample == 0 && len(r.pending) < 4*reportsWanted {
		r.pending = append(r.pending, fp)
	}
	until, ok := r.refused[fp]
	return ok && now < until
}

// Rejected notes that a try was refused in a way that has its caller try again.
func (r *RetryCounter) Rejected(now time.Duration, fp uint64) {
	if _, ok := r.refused[fp]; !ok {
		if len(r.refusals) >= mostRefused {
			delete(r.refused, r.refusals[0])
			r.refusals = r.refusals[1:]
		}
		r.refusals = append(r.refusals, fp)
	}
	r.refused[fp] = now + refusedFor
}

// Tick is taken once a second or so. It returns what to report to whom.
func (r *RetryCounter) Tick(now time.Duration, view *fleet.Snapshot) (out []Report) {
	d := now - r.last
	if r.begun && d > 0 {
		f := math.Exp(-float64(d) / float64(againFades))
		r.firsts, r.all = r.firsts*f, r.all*f
		r.rate += (1 - f) * (r.arrived/d.Seconds() - r.rate)
	}
	r.begun, r.last = true, now
	for len(r.order) > 0 && r.counts[r.order[0]].until <= now {
		delete(r.counts, r.order[0])
		r.order = r.order[1:]
	}
	for len(r.refusals) > 0 && r.refused[r.refusals[0]] <= now {
		delete(r.refused, r.refusals[0])
		r.refusals = r.refusals[1:]
	}
	for _, fp := range r.pending {
		i := named(fp, view)
		if i < 0 {
			continue
		}
		m := &view.Members[i]
		if m.Self {
			r.count(now, fp)
			continue
		}
		to := ProcessID{m.Name, m.Run}
		k := slices.IndexFunc(out, func(x Report) bool { return x.To == to && len(x.Attempts) < mostReport })
		if k < 0 {
			k = len(out)
			out = append(out, Report{To: to})
		}
		out[k].Attempts = append(out[k].Attempts, fp)
	}
	r.pending = r.pending[:0]
	// The sample follows the load in powers of two, so that two servers with about the same load follow the same
	// requests; one with more load follows a part of what the others do, and says less of each.
	want := uint64(leastSample)
	for r.arrived > float64(want*reportsWanted)*max(d.Seconds(), 0.1) && want < mostSample {
		want *= 2
	}
	if want > r.sample || 4*want <= r.sample {
		r.sample = want
	}
	r.arrived = 0
	return out
}

// HandleReport takes in a report.
func (r *RetryCounter) HandleReport(now time.Duration, tries []uint64) {
	for _, fp := range tries[:min(len(tries), mostReport)] {
		r.count(now, fp)
	}
}

func (r *RetryCounter) count(now time.Duration, fp uint64) {
	c, ok := r.counts[fp]
	if !ok {
		if len(r.order) >= mostCounted {
			return
		}
		r.order = append(r.order, fp)
		c.until = now + countFor
		r.firsts++
	}
	c.tries++
	r.all++
	r.counts[fp] = c
}

// RetryRatio is the part of all tries that are repeats, as counted here; 0 where too little was.
func (r *RetryCounter) RetryRatio() float64 {
	if r.firsts < againNeeds {
		return 0
	}
	return max(1-r.firsts/r.all, 0)
}

// AttemptRate is how many tries come here in a second.
func (r *RetryCounter) AttemptRate() float64 { return r.rate }

// named is the member that counts the tries of a request: the highest of all that serve by a hash of both; -1 = none.
func named(fp uint64, view *fleet.Snapshot) int {
	best, of := uint64(0), -1
	for i := range view.Members {
		m := &view.Members[i]
		if m.Liveness != fleet.Alive || m.State != fleet.Serving && m.State != fleet.Warming {
			continue
		}
		if h := mix(fp ^ m.Run); of < 0 || cmp.Less(best, h) {
			best, of = h, i
		}
	}
	return of
}

// kindTries begins a report on the wire; a message of the lease exchange never does, as its first field is its kind.
const kindTries = 0xff

// AppendReport appends the tries of a report, eight bytes each.
func AppendReport(b []byte, r Report) []byte {
	b = append(b, kindTries)
	for _, fp := range r.Attempts {
		b = binary.BigEndian.AppendUint64(b, fp)
	}
	return b
}

// ParseReport reads a report; ok is false for what is none.
func ParseReport(b []byte) (tries []uint64, ok bool) {
	if len(b) < 1 || b[0] != kindTries || len(b)%8 != 1 || len(b) > 1+8*mostReport {
		return nil, false
	}
	for b = b[1:]; len(b) > 0; b = b[8:] {
		tries = append(tries, binary.BigEndian.Uint64(b))
	}
	return tries, true
}
