package overload

import "falldeal/admission"

// Verdict is the fleet's view of a request.
type Verdict uint8

// The verdicts on a request. Each has a consequence for a request that this server rejects for want of CPU; rejections for
// other reasons are the same whatever the verdict.
const (
	// VerdictUnknown: nothing is known of other members, and this server decides by its own load. A rejected client is
	// asked not to retry elsewhere only while this server observes a retry storm.
	VerdictUnknown Verdict = iota
	// VerdictHasCapacity: the fleet has capacity. A rejected client may retry elsewhere, where another member runs it.
	VerdictHasCapacity
	// VerdictFleetFull: the fleet is full and over its retry budget. A rejected client is asked not to retry elsewhere.
	VerdictFleetFull
	// VerdictBelowThreshold: the request is below the shedding threshold. It is rejected whenever all cores are busy, at
	// each member, and its client is asked not to retry elsewhere.
	VerdictBelowThreshold
)

var verdictNames = [...]string{"unknown", "has capacity", "fleet full", "below threshold"}

func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return verdictNames[VerdictUnknown]
	}
	return verdictNames[v]
}

// fleetRanks gives the controller's rank for each verdict.
var fleetRanks = [...]admission.FleetRank{
	VerdictUnknown:        admission.RankUnknown,
	VerdictHasCapacity:    admission.RankElsewhere,
	VerdictFleetFull:      admission.RankFull,
	VerdictBelowThreshold: admission.RankBelowThreshold,
}

// FleetRank returns the rank that a request with this verdict has at the admission controller.
func (v Verdict) FleetRank() admission.FleetRank {
	if int(v) >= len(fleetRanks) {
		return admission.RankUnknown
	}
	return fleetRanks[v]
}
