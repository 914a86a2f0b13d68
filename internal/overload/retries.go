package overload

import (
	"slices"
	"time"

	"falldeal/internal/fleet"
)

const (
	rejectionMemory   = 4 * time.Second // for which a rejected request is remembered
	maxRejections     = 4096
	maxReportAttempts = 32 // in one message
)

// Report names attempts to the member that counts them.
type Report struct {
	To       ProcessID
	Attempts []uint64 // fingerprints; one that occurs twice stands for two attempts
}

// RetryCounter measures the ratio of attempts that are retries, which no client marks, and recognises retries of
// requests that were rejected here.
//
// The next attempt of a request goes to another server, so that no server sees all of them. All attempts of a request
// have the same Fingerprint. All members sample the same small part of the fingerprints and report attempts of these to
// the member that rendezvous hashing names, which tallies the attempts of each request. The number of reports a second
// is bounded, and no clocks are compared.
//
// It belongs to one goroutine.
type RetryCounter struct {
	sample      attemptSample
	tally       retryTally // of the requests that this member is named for
	rejected    expirySet  // requests that were rejected here
	attemptRate float64    // mean of the attempts that arrive in a second
	lastTick    time.Duration
	started     bool
}

// NewRetryCounter returns a counter that has counted nothing.
func NewRetryCounter() *RetryCounter {
	return &RetryCounter{
		sample:   attemptSample{divisor: minSampleDivisor},
		tally:    retryTally{tracked: newExpirySet()},
		rejected: newExpirySet(),
	}
}

// Arrived counts an attempt, and reports whether it is known to be a retry of a request that was rejected here.
func (c *RetryCounter) Arrived(now time.Duration, fingerprint uint64) (knownRetry bool) {
	c.sample.add(fingerprint)
	return c.rejected.hasUnexpired(now, fingerprint)
}

// Rejected notes that an attempt was rejected in a way that makes its client retry.
func (c *RetryCounter) Rejected(now time.Duration, fingerprint uint64) {
	if !c.rejected.has(fingerprint) && c.rejected.size() >= maxRejections {
		c.rejected.dropOldest()
	}
	c.rejected.put(fingerprint, now+rejectionMemory)
}

// Tick returns the reports to send. It is called once a second or so.
func (c *RetryCounter) Tick(now time.Duration, view *fleet.Snapshot) []Report {
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

// HandleReport counts the attempts that another member reports.
func (c *RetryCounter) HandleReport(now time.Duration, attempts []uint64) {
	for _, fingerprint := range attempts[:min(len(attempts), maxReportAttempts)] {
		c.tally.add(now, fingerprint)
	}
}

// RetryRatio returns the part of the attempts counted here that are retries; 0 if too few requests were counted.
func (c *RetryCounter) RetryRatio() float64 { return c.tally.retryRatio() }

// AttemptRate returns the mean number of attempts that arrive here in a second.
func (c *RetryCounter) AttemptRate() float64 { return c.attemptRate }

// AddToLoad adds the attempts that are counted here to the load that this server publishes.
func (c *RetryCounter) AddToLoad(load *fleet.Load) {
	load.Attempts = c.AttemptRate()
	load.RetryRatio = c.RetryRatio()
}

// updateRates ages the counts and takes the arrivals since the last tick into the mean.
func (c *RetryCounter) updateRates(elapsed time.Duration) {
	factor := decayFactor(elapsed, retryRatioTimeConstant)
	c.tally.decay(factor)
	c.attemptRate += (1 - factor) * (c.sample.arrivals/elapsed.Seconds() - c.attemptRate)
}

// reportSample tallies the sampled attempts that this member is named for, and returns reports of the others.
func (c *RetryCounter) reportSample(now time.Duration, view *fleet.Snapshot) (reports []Report) {
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
