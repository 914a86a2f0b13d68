package overload

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"falldeal/internal/fleet"

	"github.com/cespare/xxhash/v2"
)

// Retries are not marked, and the next attempt goes to another server, so that no server sees all attempts of a request.
// What is the same in all of them gives a fingerprint. All members follow the same small sample of fingerprints and
// report attempts of these to the member that rendezvous hashing names, which counts the attempts of each request. The
// number of reports a second is bounded, and no clocks are compared.
const (
	targetReportRate  = 16 // attempts that each server reports a second, about
	minSampleDivisor  = 1  // one fingerprint in so many is followed
	maxSampleDivisor  = 1 << 12
	maxReportAttempts = 32 // in one message
	maxPending        = 4 * targetReportRate
	minTickSeconds    = 0.1 // below which the rate of attempts is not taken from a tick

	requestTrackingTime = 8 * time.Second // for which the attempts of a request are counted together
	maxTrackedRequests  = 4096
	rejectionMemory     = 4 * time.Second // for which a rejected request is remembered
	maxRejections       = 4096

	retryRatioTimeConstant = 5 * time.Second
	minCountedRequests     = 4.0 // decayed, below which no ratio is given
)

// Fingerprint returns a hash of what is the same in all attempts of a request and seldom the same in two requests. All
// members compute the same fingerprint.
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

// Report names attempts to the member that counts them.
type Report struct {
	To       ProcessID
	Attempts []uint64 // fingerprints; one that occurs twice stands for two attempts
}

// trackedRequest is a request whose attempts this member counts.
type trackedRequest struct {
	expires  time.Duration
	attempts int
}

// RetryCounter counts the attempts of each request that this member is named for, and remembers what was rejected here.
// It belongs to one goroutine.
type RetryCounter struct {
	sampleDivisor uint64
	pending       []uint64 // fingerprints to report at the next tick
	arrivals      float64  // attempts since the last tick
	attemptRate   float64  // a second, mean
	lastTick      time.Duration
	started       bool

	tracked       map[uint64]trackedRequest
	trackingOrder []uint64 // keys of tracked, oldest first
	requests      float64  // counted here, decayed
	attempts      float64  // of these, decayed

	rejected       map[uint64]time.Duration // until when to remember it
	rejectionOrder []uint64                 // keys of rejected, oldest first
}

// NewRetryCounter returns a counter that has counted nothing.
func NewRetryCounter() *RetryCounter {
	return &RetryCounter{
		sampleDivisor: minSampleDivisor,
		tracked:       map[uint64]trackedRequest{},
		rejected:      map[uint64]time.Duration{},
	}
}

// Arrived counts an attempt, and reports whether it is known to be a retry of a request that was rejected here.
func (c *RetryCounter) Arrived(now time.Duration, fingerprint uint64) (knownRetry bool) {
	c.arrivals++
	if fingerprint%c.sampleDivisor == 0 && len(c.pending) < maxPending {
		c.pending = append(c.pending, fingerprint)
	}
	expires, ok := c.rejected[fingerprint]
	return ok && now < expires
}

// Rejected notes that an attempt was rejected in a way that makes its client retry.
func (c *RetryCounter) Rejected(now time.Duration, fingerprint uint64) {
	if _, ok := c.rejected[fingerprint]; !ok {
		if len(c.rejectionOrder) >= maxRejections {
			c.dropOldestRejection()
		}
		c.rejectionOrder = append(c.rejectionOrder, fingerprint)
	}
	c.rejected[fingerprint] = now + rejectionMemory
}

// Tick returns the reports to send. It is called once a second or so.
func (c *RetryCounter) Tick(now time.Duration, view *fleet.Snapshot) []Report {
	elapsed := now - c.lastTick
	if c.started && elapsed > 0 {
		c.updateRates(elapsed)
	}
	c.started, c.lastTick = true, now
	c.dropExpired(now)
	reports := c.takeReports(now, view)
	c.adjustSample(elapsed)
	c.arrivals = 0
	return reports
}

// HandleReport counts the attempts that another member reports.
func (c *RetryCounter) HandleReport(now time.Duration, attempts []uint64) {
	for _, fingerprint := range attempts[:min(len(attempts), maxReportAttempts)] {
		c.count(now, fingerprint)
	}
}

// RetryRatio returns the part of the attempts counted here that are retries; 0 if too few requests were counted.
func (c *RetryCounter) RetryRatio() float64 {
	if c.requests < minCountedRequests {
		return 0
	}
	return max(1-c.requests/c.attempts, 0)
}

// AttemptRate returns the mean number of attempts that arrive here in a second.
func (c *RetryCounter) AttemptRate() float64 { return c.attemptRate }

// updateRates ages the counts and takes the arrivals since the last tick into the mean.
func (c *RetryCounter) updateRates(elapsed time.Duration) {
	factor := decayFactor(elapsed, retryRatioTimeConstant)
	c.requests *= factor
	c.attempts *= factor
	c.attemptRate += (1 - factor) * (c.arrivals/elapsed.Seconds() - c.attemptRate)
}

func (c *RetryCounter) dropExpired(now time.Duration) {
	for len(c.trackingOrder) > 0 && c.tracked[c.trackingOrder[0]].expires <= now {
		delete(c.tracked, c.trackingOrder[0])
		c.trackingOrder = c.trackingOrder[1:]
	}
	for len(c.rejectionOrder) > 0 && c.rejected[c.rejectionOrder[0]] <= now {
		c.dropOldestRejection()
	}
}

func (c *RetryCounter) dropOldestRejection() {
	delete(c.rejected, c.rejectionOrder[0])
	c.rejectionOrder = c.rejectionOrder[1:]
}

// takeReports counts the pending attempts that this member is named for, and returns reports of the others.
func (c *RetryCounter) takeReports(now time.Duration, view *fleet.Snapshot) (reports []Report) {
	for _, fingerprint := range c.pending {
		index := countingMember(fingerprint, view)
		if index < 0 {
			continue
		}
		if member := &view.Members[index]; member.Self {
			c.count(now, fingerprint)
		} else {
			reports = addToReports(reports, processOf(member), fingerprint)
		}
	}
	c.pending = c.pending[:0]
	return reports
}

// addToReports adds an attempt to the report to a process that has room for it, or to a new one.
func addToReports(reports []Report, to ProcessID, fingerprint uint64) []Report {
	index := slices.IndexFunc(reports, func(report Report) bool {
		return report.To == to && len(report.Attempts) < maxReportAttempts
	})
	if index < 0 {
		index = len(reports)
		reports = append(reports, Report{To: to})
	}
	reports[index].Attempts = append(reports[index].Attempts, fingerprint)
	return reports
}

// adjustSample makes the sample follow the load in powers of two, so that two servers with about the same load follow
// the same requests. One with more load follows a part of what the others do, and reports less of each request.
func (c *RetryCounter) adjustSample(elapsed time.Duration) {
	divisor := uint64(minSampleDivisor)
	seconds := max(elapsed.Seconds(), minTickSeconds)
	for c.arrivals > float64(divisor*targetReportRate)*seconds && divisor < maxSampleDivisor {
		divisor *= 2
	}
	if divisor > c.sampleDivisor || 4*divisor <= c.sampleDivisor {
		c.sampleDivisor = divisor
	}
}

// count counts an attempt of a request; a request that there is no room for is not counted.
func (c *RetryCounter) count(now time.Duration, fingerprint uint64) {
	request, ok := c.tracked[fingerprint]
	if !ok {
		if len(c.trackingOrder) >= maxTrackedRequests {
			return
		}
		c.trackingOrder = append(c.trackingOrder, fingerprint)
		request.expires = now + requestTrackingTime
		c.requests++
	}
	request.attempts++
	c.attempts++
	c.tracked[fingerprint] = request
}
