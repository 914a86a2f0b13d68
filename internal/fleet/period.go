package fleet

import "time"

const (
	minPublishInterval = time.Second
	// updatesPerSecond is the rate of updates that a member can receive and pass on. It sends one packet of 1,400 bytes
	// to three other members five times a second, and each update has to be passed on about eight times to reach all
	// members. That leaves 3*5*1400/(8*25) = 105 bytes for each update.
	updatesPerSecond = 25
	// missedIntervals is the number of publish intervals without an update after which a record is overdue: three
	// updates in a row may be lost, and the fourth still arrives in time. About one update in fifty is lost.
	missedIntervals = 4
	// propagationTime is the time that an update is given to reach all members.
	propagationTime = time.Second
)

// PublishInterval returns the interval at which a member publishes its load in a fleet with that many members: at least
// 1 s. It grows with the fleet, so that the traffic of each member does not. Urgent changes are published at once.
func PublishInterval(members int) time.Duration {
	return max(minPublishInterval, time.Duration(members)*time.Second/updatesPerSecond)
}

// MaxFreshAge returns the maximum age of a record that counts as current in a fleet with that many members.
func MaxFreshAge(members int) time.Duration {
	return missedIntervals*PublishInterval(members) + propagationTime
}
