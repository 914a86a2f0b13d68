package schedule

import (
	"fmt"
	"time"

	"falldeal/internal/fleet"
)

// pollInterval is the interval between two checks of WaitUntil.
const pollInterval = 100 * time.Millisecond

// CheckAgreement returns nil if all live members have equal views of the fleet in which exactly the live members are alive,
// and none of them is isolated. Otherwise it returns an error that names a member whose view differs.
func (c *Cluster) CheckAgreement() error {
	live := c.LiveMembers()
	var first uint64
	for i, member := range live {
		snapshot := member.Fleet.Snapshot()
		if isIsolated(snapshot.Position, len(live)) {
			return fmt.Errorf("%s is %v, with %d live members", member.Name, snapshot.Position, len(live))
		}
		if alive := countAlive(snapshot); alive != len(live) {
			return fmt.Errorf("%s sees %d members alive, but %d are", member.Name, alive, len(live))
		}
		if agreement := snapshot.AgreementDigest(); i == 0 {
			first = agreement
		} else if agreement != first {
			return fmt.Errorf("%s and %s see the same number of members alive but have different views", live[0].Name, member.Name)
		}
	}
	return nil
}

// isIsolated reports whether a member in a position has lost its fleet. The only live member may be alone.
func isIsolated(position fleet.Position, liveMembers int) bool {
	isAlone := position == fleet.Alone && liveMembers > 1
	return isAlone || position == fleet.Partitioned
}

// countAlive returns the number of members that a snapshot shows as alive or stalled. The process of a stalled member runs.
func countAlive(snapshot *fleet.Snapshot) (alive int) {
	for i := range snapshot.Members {
		if liveness := snapshot.Members[i].Liveness; liveness == fleet.Alive || liveness == fleet.Stalled {
			alive++
		}
	}
	return alive
}

// WaitUntil calls check until it returns nil, and returns how long that took. Once more than limit has passed, it returns the
// last error of check.
func WaitUntil(limit time.Duration, check func() error) (time.Duration, error) {
	start := time.Now()
	for {
		err := check()
		if err == nil || time.Since(start) > limit {
			return time.Since(start), err
		}
		time.Sleep(pollInterval)
	}
}
