package overload

import (
	"slices"
	"time"

	"falldeal/internal/fleet"
)

const (
	rejectionRetention = 4 * time.Second // time after a rejection in which further attempts of the request count as known retries
	maxRejections      = 4096            // rejected requests that a member remembers
	maxReportAttempts  = 32              // attempts in one report
)

// AttemptReport lists attempts for the member that counts them.
type AttemptReport struct {
	To       ProcessID
	Attempts []uint64 // fingerprint of each attempt; one that occurs twice stands for two attempts of a request
}

// RetryCounter measures the ratio of attempts that are retries, which no client marks. It also recognises retries of
// requests that this server has rejected.
//
// A client sends the next attempt of a request to another server, so that no server sees all attempts. But all attempts of
// a request have the same Fingerprint:
//
//   - Each member samples the fingerprints of the attempts that arrive at it. Members with the same load sample the same
//     requests.
//   - It reports the sampled attempts to the members that rendezvous hashing chooses. All attempts of a request go to the
//     same member.
//   - That member counts the requests and their attempts, and publishes the ratio.
//
// The reports per second are bounded, and no clocks are compared.
//
// It belongs to one goroutine.
type RetryCounter struct {
	sample      attemptSample
	tally       retryTally    // counts of the requests that rendezvous hashing assigns to this member
	rejected    expirySet     // requests that this server has rejected
	attemptRate float64       // moving average of the attempts per second that arrive here
	lastTick    time.Duration // time of the last Tick
	started     bool          // lastTick is set
}

// NewRetryCounter returns a counter without any attempts.
func NewRetryCounter() *RetryCounter {
	return &RetryCounter{
		sample:   attemptSample{divisor: minSampleDivisor},
		tally:    retryTally{tracked: newExpirySet()},
		rejected: newExpirySet(),
	}
}

// RecordAttempt counts an attempt that arrives now. It reports whether the attempt is known to be a retry, because this server
// rejected the request within the last 4 s.
func (c *RetryCounter) RecordAttempt(now time.Duration, fingerprint uint64) (knownRetry bool) {
	c.sample.add(fingerprint)
	return c.rejected.hasUnexpired(now, fingerprint)
}

// RecordRejection records that an attempt was rejected in a way that makes its client retry.
func (c *RetryCounter) RecordRejection(now time.Duration, fingerprint uint64) {
	if !c.rejected.has(fingerprint) && c.rejected.size() >= maxRejections {
		c.rejected.dropOldest()
	}
	c.rejected.put(fingerprint, now+rejectionRetention)
}

// Tick updates the rates and returns the reports to send. It is to be called about once a second.
func (c *RetryCounter) Tick(now time.Duration, view *fleet.Snapshot) []AttemptReport {
	elapsed := now - c.lastTick
	if c.started && elapsed > 0 {
		c.updateRates(elapsed)
	}
	c.started = true
	c.lastTick = now
	c.tally.tracked.dropExpired(now)
	c.rejected.dropExpired(now)
	reports := c.reportSample(now, view)
	c.sample.reset(elapsed)
	return reports
}

// HandleReport counts the attempts that another member reports. It ignores those beyond maxReportAttempts.
func (c *RetryCounter) HandleReport(now time.Duration, attempts []uint64) {
	for _, fingerprint := range attempts[:min(len(attempts), maxReportAttempts)] {
		c.tally.add(now, fingerprint)
	}
}

// RetryRatio returns the ratio of the attempts counted here that are retries, 0 to 1. It returns 0 if too few requests
// were counted lately.
func (c *RetryCounter) RetryRatio() float64 { return c.tally.retryRatio() }

// AttemptRate returns the moving average of the attempts per second that arrive here.
func (c *RetryCounter) AttemptRate() float64 { return c.attemptRate }

// AddToLoad adds the attempt rate and the retry ratio to the load that this server publishes.
func (c *RetryCounter) AddToLoad(load *fleet.Load) {
	load.Attempts = c.AttemptRate()
	load.RetryRatio = c.RetryRatio()
}

// updateRates decays the tally, and adds the arrivals since the last tick to the attempt rate.
func (c *RetryCounter) updateRates(elapsed time.Duration) {
	factor := decayFactor(elapsed, retryRatioTimeConstant)
	c.tally.decay(factor)
	c.attemptRate += (1 - factor) * (c.sample.arrivals/elapsed.Seconds() - c.attemptRate)
}

// reportSample counts the sampled attempts that are assigned to this member, and returns reports of the others.
func (c *RetryCounter) reportSample(now time.Duration, view *fleet.Snapshot) (reports []AttemptReport) {
	for _, fingerprint := range c.sample.pending {
		index := countingMember(fingerprint, view)
		if index < 0 {
			continue
		}
		if member := &view.Members[index]; member.Self {
			c.tally.add(now, fingerprint)
		} else {
			reports = addToReports(reports, processOf(member), fingerprint)
		}
	}
	return reports
}

// addToReports adds an attempt to a report to the given process, and begins a new report if none has room.
func addToReports(reports []AttemptReport, to ProcessID, fingerprint uint64) []AttemptReport {
	index := slices.IndexFunc(reports, func(report AttemptReport) bool {
		return report.To == to && len(report.Attempts) < maxReportAttempts
	})
	if index < 0 {
		index = len(reports)
		reports = append(reports, AttemptReport{To: to})
	}
	reports[index].Attempts = append(reports[index].Attempts, fingerprint)
	return reports
}
