package fleet

import "time"

const (
	minPeriod = time.Second
	// updatesPerSecond is how many updates of others a member can receive and pass on within one packet of 1,400
	// bytes to three others five times a second, when each update has to be passed on some eight times to reach all.
	updatesPerSecond = 25
	// missedPeriods is how many updates in a row may be lost, plus the one that is due: one in fifty is lost.
	missedPeriods = 4
	// propagationTime is what an update takes to reach all members.
	propagationTime = time.Second
)

// Period is how often a member publishes its load in a fleet of that size. It grows with the fleet, so that the
// traffic of each member does not. Changes that are urgent are published at once.
func Period(members int) time.Duration {
	return max(minPeriod, time.Duration(members)*time.Second/updatesPerSecond)
}

// MaxFreshAge is the greatest age at which a record counts as current in a fleet of that size.
func MaxFreshAge(members int) time.Duration { return missedPeriods*Period(members) + propagationTime }
