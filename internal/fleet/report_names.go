package fleet

// Scripts and falldeal-fleet of other versions read reports, so that the names in them stay as they are, whatever the
// program calls the same thing elsewhere. This file maps both ways.

var reportedLiveness = [...]string{
	Unconfirmed: "heard of", Alive: "alive", Suspect: "suspect", Stalled: "wedged",
	Unreachable: "cut off", Failed: "dead", Left: "left",
}

var reportedPositions = [...]string{
	Alone: "alone", FullyConnected: "whole", PartiallyConnected: "torn", Partitioned: "cut off",
}

const reportedStopped = "gone"

// ReportName returns the name of the position in a Report.
func (p Position) ReportName() string { return reportedPositions[p] }

// reportName returns the name of the state in a Report.
func (s State) reportName() string {
	if s == Stopped {
		return reportedStopped
	}
	return s.String()
}

// reportedCondition is Member.Condition by its names in a Report.
func (m *Member) reportedCondition() string {
	if m.reportsState() {
		return m.State.reportName()
	}
	return reportedLiveness[m.Liveness]
}

// ConditionName returns the name that a condition or state of a member in a Report has elsewhere. A name that is not
// known, of another version, is returned as it is.
func ConditionName(reported string) string {
	if reported == reportedStopped {
		return Stopped.String()
	}
	for liveness, name := range reportedLiveness {
		if name == reported {
			return Liveness(liveness).String()
		}
	}
	return reported
}

// PositionName returns the name that a position in a Report has elsewhere. A name that is not known, of another version,
// is returned as it is.
func PositionName(reported string) string {
	for position, name := range reportedPositions {
		if name == reported {
			return Position(position).String()
		}
	}
	return reported
}
