package schedule

import (
	"fmt"
	"time"

	"falldeal/internal/fleet"
)

const pollInterval = 100 * time.Millisecond

// CheckAgreement returns nil if every live member sees just the live ones as alive, each with its own state, and otherwise
// an error that says what is wrong.
func (c *Cluster) CheckAgreement() error {
	live := c.LiveMembers()
	var first uint64
	for i, member := range live {
		snapshot := member.Fleet.Snapshot()
		if isIsolated(snapshot.Position, len(live)) {
			return fmt.Errorf("%s is in position %v", member.Name, snapshot.Position)
		}
		if alive := countAlive(snapshot); alive != len(live) {
			return fmt.Errorf("%s sees %d alive of %d", member.Name, alive, len(live))
		}
		if agreement := snapshot.AgreementDigest(); i == 0 {
			first = agreement
		} else if agreement != first {
			return fmt.Errorf("%s and %s have different views", live[0].Name, member.Name)
		}
	}
	return nil
}

// isIsolated reports whether a position is that of a member that has lost its fleet. A member without peers may be alone.
func isIsolated(position fleet.Position, liveMembers int) bool {
	isAlone := position == fleet.Alone && liveMembers > 1
	return isAlone || position == fleet.Partitioned
}

// countAlive counts the members whose process is seen to run, even if its loop is stalled.
func countAlive(snapshot *fleet.Snapshot) (alive int) {
	for i := range snapshot.Members {
		if liveness := snapshot.Members[i].Liveness; liveness == fleet.Alive || liveness == fleet.Stalled {
			alive++
		}
	}
	return alive
}

// WaitUntil waits until check returns nil, and returns how long that took. After limit it returns the last error.
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
