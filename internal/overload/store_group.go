package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	minUnhealthyMembers    = 2  // smallest quorum: a single unhealthy member may itself be the cause
	unhealthyQuorumDivisor = 10 // one member in 10 is a quorum
	verifiersPerRecovery   = 3  // members that verify the store, for each other member that publishes StoreRecovering
)

// storeGroup describes the members that use the same store in the same zone. It counts only members that accept requests
// and whose published load is recent.
type storeGroup struct {
	size       int             // number of members, this one included
	unhealthy  []*fleet.Member // other members whose calls to the store fail
	recovering int             // number of other members that publish StoreRecovering
}

// storeGroupOf returns the group of this member, which is in the given zone and uses the given store. It compares zones by
// name only, without their regions. The time at is on the clock of the view.
func storeGroupOf(view *fleet.Snapshot, at time.Duration, zone string, storeID uint32) storeGroup {
	maxAge := fleet.MaxFreshAge(len(view.Members))
	group := storeGroup{size: 1}
	for i := range view.Members {
		member := &view.Members[i]
		sameStore := member.Zone == zone && member.Load.StoreID == storeID
		if member.Self || !sameStore || !member.Serves(at, maxAge) {
			continue
		}
		group.size++
		switch state := StoreState(member.Load.StoreState); {
		case state.unhealthy():
			group.unhealthy = append(group.unhealthy, member)
		case state == StoreRecovering:
			group.recovering++
		}
	}
	return group
}

// quorum returns how many members must consider the store unresponsive before the store counts as the cause, rather than
// these members.
func (g *storeGroup) quorum() int { return max(minUnhealthyMembers, g.size/unhealthyQuorumDivisor) }

// hasQuorum reports whether this number of unhealthy members is a quorum.
func (g *storeGroup) hasQuorum(unhealthy int) bool { return unhealthy >= g.quorum() }

// verifies reports whether this member, whose run is given and which is unhealthy, is one of those that verify a recovery.
// These are the unhealthy members with the lowest hashes: verifiersPerRecovery for each member that publishes
// StoreRecovering.
func (g *storeGroup) verifies(run uint64) bool {
	ownHash := mix(run)
	rank := 0
	for _, member := range g.unhealthy {
		if mix(member.Run) < ownHash {
			rank++
		}
	}
	return rank < verifiersPerRecovery*g.recovering
}
