package overload

import "time"

// usageTimeConstant is that of the mean number of calls in flight.
const usageTimeConstant = 2 * time.Second

// callUsage is the exponentially weighted mean of the number of calls in flight.
type callUsage struct {
	mean       float64
	measuredAt time.Duration
	started    bool
}

// measure takes the number of calls in flight now into the mean. It counts for the time since the last measurement.
func (u *callUsage) measure(now time.Duration, callsInFlight int) {
	if elapsed := now - u.measuredAt; u.started && elapsed > 0 {
		weight := min(float64(elapsed)/float64(usageTimeConstant), 1)
		u.mean += weight * (float64(callsInFlight) - u.mean)
	}
	u.started = true
	u.measuredAt = now
}

// missedQuota is the quota that would have sufficed when calls were last missed. It is wanted for the length of a lease:
// otherwise a lease would be returned as soon as it helps, and requested again.
type missedQuota struct {
	calls       int // missed since the last update
	wanted      Quota
	wantedUntil time.Duration
}

// update raises what is wanted if calls were missed since the last update.
func (q *missedQuota) update(now time.Duration, limit Quota, terms *LeaseTerms) {
	if q.calls == 0 {
		return
	}
	q.calls = 0
	q.wanted = min(limit+terms.Base/minRequestDivisor, maxWantedFactor*terms.Base)
	q.wantedUntil = now + terms.Lease
}

// isWanted reports whether calls were missed within the length of a lease.
func (q *missedQuota) isWanted(now time.Duration) bool { return now < q.wantedUntil }
