package overload

import "falldeal/admission"

// Verdict is the fleet's view of a request.
type Verdict uint8

// The verdicts on a request.
const (
	VerdictUnknown        Verdict = iota // nothing is known of other members: this server decides by its own load
	VerdictHasCapacity                   // the fleet has capacity: if this server rejects the request, another runs it
	VerdictFleetFull                     // the fleet is full and over its retry budget: a rejected client should not retry
	VerdictBelowThreshold                // the request is below the threshold: no member runs it while cores are short
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
