package overload

import "time"

// usageTimeConstant is the time constant of callUsage.mean.
const usageTimeConstant = 2 * time.Second

// callUsage is the exponentially weighted moving average of the calls in flight at the store.
type callUsage struct {
	mean       float64       // calls in flight
	measuredAt time.Duration // time of the last measurement
	started    bool          // measuredAt is set
}

// measure adds the number of calls in flight now to the mean, weighted by the time since the last measurement.
func (u *callUsage) measure(now time.Duration, callsInFlight int) {
	if elapsed := now - u.measuredAt; u.started && elapsed > 0 {
		weight := min(float64(elapsed)/float64(usageTimeConstant), 1)
		u.mean += weight * (float64(callsInFlight) - u.mean)
	}
	u.started = true
	u.measuredAt = now
}

// missedQuota is the quota that this member wants because calls were missed: skipped, or their request rejected, for
// lack of quota. The quota stays wanted for the length of a lease. Otherwise a lease would be returned as soon as it
// takes effect, and then be requested again.
type missedQuota struct {
	calls       int           // calls missed since the last update
	wanted      Quota         // quota that this member wants until wantedUntil
	wantedUntil time.Duration // one lease length after the last update that found missed calls
}

// update sets the wanted quota to a step above the limit if calls were missed since the last update.
func (q *missedQuota) update(now time.Duration, limit Quota, terms *LeaseTerms) {
	if q.calls == 0 {
		return
	}
	q.calls = 0
	q.wanted = min(limit+terms.Base/minRequestDivisor, maxWantedFactor*terms.Base)
	q.wantedUntil = now + terms.Lease
}

// isWanted reports whether calls were missed within the last lease length, so that the quota is still wanted.
func (q *missedQuota) isWanted(now time.Duration) bool { return now < q.wantedUntil }
