package overload

import (
	"time"

	"falldeal/internal/fleet"
)

const (
	minUnhealthyMembers    = 2  // a single unhealthy member may itself be the cause
	unhealthyQuorumDivisor = 10 // one member in so many must be unhealthy
	verifiersPerRecovered  = 3  // members that verify the store for each one that has recovered
)

// storeGroup is what is known of the other members with the same store in the same zone, by their recent load.
type storeGroup struct {
	size      int             // members, this one included
	unhealthy []*fleet.Member // whose calls to the store fail
	recovered int             // members that publish that the store has recovered
}

// storeGroupOf returns the group of a member in this zone with this store. At is the time on the view's clock.
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
			group.recovered++
		}
	}
	return group
}

// quorum returns how many members must find the store unresponsive for the store to be the cause.
func (g *storeGroup) quorum() int { return max(minUnhealthyMembers, g.size/unhealthyQuorumDivisor) }

// hasQuorum reports whether so many unhealthy members are enough for the store to be the cause.
func (g *storeGroup) hasQuorum(unhealthy int) bool { return unhealthy >= g.quorum() }

// verifies reports whether a process of the group is one of those that verify a recovery: the first by a hash, a fixed
// number for each member that has recovered.
func (g *storeGroup) verifies(run uint64) bool {
	ownHash := mix(run)
	rank := 0
	for _, member := range g.unhealthy {
		if mix(member.Run) < ownHash {
			rank++
		}
	}
	return rank < verifiersPerRecovered*g.recovered
}
