package overload

import "falldeal/admission"

// Verdict classifies a request by the load of the whole fleet.
type Verdict uint8

// The verdicts on a request. A verdict matters only for rejections for lack of CPU time; it does not change rejections
// for other reasons.
const (
	// VerdictUnknown: the load of the other members is not known, or the request has no valid work or value. This server
	// decides by its own load. It asks a rejected client not to retry elsewhere only while it observes a retry storm.
	VerdictUnknown Verdict = iota
	// VerdictHasCapacity: the fleet has capacity, or is full but within its retry budget. A rejected client may retry
	// elsewhere.
	VerdictHasCapacity
	// VerdictFleetFull: the fleet is full and over its retry budget. A rejected client is asked not to retry elsewhere.
	VerdictFleetFull
	// VerdictBelowThreshold: the priority of the request is below the shedding threshold. Each member rejects it while
	// all its cores are busy, and asks the client not to retry elsewhere.
	VerdictBelowThreshold
)

var verdictNames = [...]string{"unknown", "has capacity", "fleet full", "below threshold"}

// String returns the name of the verdict; a number that is not defined reads as VerdictUnknown.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return verdictNames[VerdictUnknown]
	}
	return verdictNames[v]
}

// fleetRanks maps each verdict to the rank that the admission controller knows it by.
var fleetRanks = [...]admission.FleetRank{
	VerdictUnknown:        admission.RankUnknown,
	VerdictHasCapacity:    admission.RankElsewhere,
	VerdictFleetFull:      admission.RankFull,
	VerdictBelowThreshold: admission.RankBelowThreshold,
}

// FleetRank returns the rank to pass to the admission controller with a request of this verdict.
func (v Verdict) FleetRank() admission.FleetRank {
	if int(v) >= len(fleetRanks) {
		return admission.RankUnknown
	}
	return fleetRanks[v]
}
