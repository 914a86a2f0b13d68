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
	targetReportRate       = 16              // a second by each server, at most about
	minSampleDivisor       = 1               // of so many fingerprints one is followed
	maxSampleDivisor       = 1 << 12         // at least
	requestTrackingTime    = 8 * time.Second // for which a request's tries are counted together
	maxTrackedRequests     = 4096            // requests whose tries are counted here
	rejectionMemory        = 4 * time.Second // for which a refused request is remembered
	maxRejections          = 4096
	retryRatioTimeConstant = 5 * time.Second // time constant of what is counted
	minCountedRequests     = 4.0             // requests, faded, below which nothing is said
	maxReportAttempts      = 32              // tries in one message
)

// Fingerprint of a request: what is the same in all of its tries, and seldom the same in two requests.
func Fingerprint(class, key, idempotencyKey string, client int, rank, cost float64) uint64 {
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[:], uint64(client))
	binary.LittleEndian.PutUint64(numbers[8:], math.Float64bits(rank))
	binary.LittleEndian.PutUint64(numbers[16:], math.Float64bits(cost))
	hash := xxhash.Sum64(numbers[:])
	for _, text := range [...]string{class, key, idempotencyKey} {
		hash = hash*0x9e3779b97f4a7c15 + xxhash.Sum64String(text)
	}
	return mix(hash)
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

// trackedRequest is a request whose tries are counted.
type trackedRequest struct {
	expires  time.Duration
	attempts int
}

// RetryCounter counts how many tries there are for each request, and remembers what was refused here. It belongs to one
// goroutine.
type RetryCounter struct {
	sampleDivisor uint64 // of so many fingerprints one is followed here
	pending       []uint64
	arrivals      float64 // tries since the last turn
	attemptRate   float64 // tries a second
	lastTick      time.Duration
	started       bool

	tracked        map[uint64]trackedRequest
	trackingOrder  []uint64 // of counts, oldest first
	requests       float64  // requests counted, faded, and all their tries
	attempts       float64
	rejected       map[uint64]time.Duration
	rejectionOrder []uint64 // in order
}

// NewRetryCounter returns an empty count.
func NewRetryCounter() *RetryCounter {
	return &RetryCounter{sampleDivisor: minSampleDivisor, tracked: map[uint64]trackedRequest{}, rejected: map[uint64]time.Duration{}}
}

// Arrived takes in a try, and reports whether it is known to be one of a request that was refused here.
func (r *RetryCounter) Arrived(now time.Duration, fingerprint uint64) (known bool) {
	r.arrivals++
	if fingerprint%r.sampleDivisor == 0 && len(r.pending) < 4*targetReportRate {
		r.pending = append(r.pending, fingerprint)
	}
	expires, ok := r.rejected[fingerprint]
	return ok && now < expires
}

// Rejected notes that a try was refused in a way that has its caller try again.
func (r *RetryCounter) Rejected(now time.Duration, fingerprint uint64) {
	if _, ok := r.rejected[fingerprint]; !ok {
		if len(r.rejectionOrder) >= maxRejections {
			delete(r.rejected, r.rejectionOrder[0])
			r.rejectionOrder = r.rejectionOrder[1:]
		}
		r.rejectionOrder = append(r.rejectionOrder, fingerprint)
	}
	r.rejected[fingerprint] = now + rejectionMemory
}

// Tick is taken once a second or so. It returns what to report to whom.
func (r *RetryCounter) Tick(now time.Duration, view *fleet.Snapshot) (reports []Report) {
	elapsed := now - r.lastTick
	if r.started && elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(retryRatioTimeConstant))
		r.requests, r.attempts = r.requests*decay, r.attempts*decay
		r.attemptRate += (1 - decay) * (r.arrivals/elapsed.Seconds() - r.attemptRate)
	}
	r.started, r.lastTick = true, now
	for len(r.trackingOrder) > 0 && r.tracked[r.trackingOrder[0]].expires <= now {
		delete(r.tracked, r.trackingOrder[0])
		r.trackingOrder = r.trackingOrder[1:]
	}
	for len(r.rejectionOrder) > 0 && r.rejected[r.rejectionOrder[0]] <= now {
		delete(r.rejected, r.rejectionOrder[0])
		r.rejectionOrder = r.rejectionOrder[1:]
	}
	for _, fingerprint := range r.pending {
		i := countingMember(fingerprint, view)
		if i < 0 {
			continue
		}
		member := &view.Members[i]
		if member.Self {
			r.count(now, fingerprint)
			continue
		}
		to := ProcessID{member.Name, member.Run}
		k := slices.IndexFunc(reports, func(x Report) bool { return x.To == to && len(x.Attempts) < maxReportAttempts })
		if k < 0 {
			k = len(reports)
			reports = append(reports, Report{To: to})
		}
		reports[k].Attempts = append(reports[k].Attempts, fingerprint)
	}
	r.pending = r.pending[:0]
	// The sample follows the load in powers of two, so that two servers with about the same load follow the same
	// requests; one with more load follows a part of what the others do, and says less of each.
	divisor := uint64(minSampleDivisor)
	for r.arrivals > float64(divisor*targetReportRate)*max(elapsed.Seconds(), 0.1) && divisor < maxSampleDivisor {
		divisor *= 2
	}
	if divisor > r.sampleDivisor || 4*divisor <= r.sampleDivisor {
		r.sampleDivisor = divisor
	}
	r.arrivals = 0
	return reports
}

// HandleReport takes in a report.
func (r *RetryCounter) HandleReport(now time.Duration, attempts []uint64) {
	for _, fingerprint := range attempts[:min(len(attempts), maxReportAttempts)] {
		r.count(now, fingerprint)
	}
}

func (r *RetryCounter) count(now time.Duration, fingerprint uint64) {
	request, ok := r.tracked[fingerprint]
	if !ok {
		if len(r.trackingOrder) >= maxTrackedRequests {
			return
		}
		r.trackingOrder = append(r.trackingOrder, fingerprint)
		request.expires = now + requestTrackingTime
		r.requests++
	}
	request.attempts++
	r.attempts++
	r.tracked[fingerprint] = request
}

// RetryRatio is the part of all tries that are repeats, as counted here; 0 where too little was.
func (r *RetryCounter) RetryRatio() float64 {
	if r.requests < minCountedRequests {
		return 0
	}
	return max(1-r.requests/r.attempts, 0)
}

// AttemptRate is how many tries come here in a second.
func (r *RetryCounter) AttemptRate() float64 { return r.attemptRate }

// countingMember is the member that counts the tries of a request: the highest of all that serve by a hash of both; -1 = none.
func countingMember(fingerprint uint64, view *fleet.Snapshot) int {
	bestHash, index := uint64(0), -1
	for i := range view.Members {
		member := &view.Members[i]
		if member.Liveness != fleet.Alive || member.State != fleet.Serving && member.State != fleet.Warming {
			continue
		}
		if h := mix(fingerprint ^ member.Run); index < 0 || cmp.Less(bestHash, h) {
			bestHash, index = h, i
		}
	}
	return index
}

// kindReport begins a report on the wire; a message of the lease exchange never does, as its first field is its kind.
const kindReport = 0xff

// AppendReport appends the tries of a report, eight bytes each.
func AppendReport(b []byte, report Report) []byte {
	b = append(b, kindReport)
	for _, fingerprint := range report.Attempts {
		b = binary.BigEndian.AppendUint64(b, fingerprint)
	}
	return b
}

// ParseReport reads a report; ok is false for what is none.
func ParseReport(b []byte) (attempts []uint64, ok bool) {
	if len(b) < 1 || b[0] != kindReport || len(b)%8 != 1 || len(b) > 1+8*maxReportAttempts {
		return nil, false
	}
	for b = b[1:]; len(b) > 0; b = b[8:] {
		attempts = append(attempts, binary.BigEndian.Uint64(b))
	}
	return attempts, true
}
