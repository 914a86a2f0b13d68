package fleet

// Scripts and other versions of falldeal-fleet read reports. The names in a Report therefore never change, although the
// program uses other names for the same things elsewhere. The functions in this file map between the two.

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

// reportedCondition returns Member.Condition by its name in a Report.
func (m *Member) reportedCondition() string {
	if m.reportsState() {
		return m.State.reportName()
	}
	return reportedLiveness[m.Liveness]
}

// ConditionName returns the name that the program uses elsewhere for a member's condition or state in a Report. It
// returns a name that it does not know, from another version, unchanged.
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

// PositionName returns the name that the program uses elsewhere for a position in a Report. It returns a name that it
// does not know, from another version, unchanged.
func PositionName(reported string) string {
	for position, name := range reportedPositions {
		if name == reported {
			return Position(position).String()
		}
	}
	return reported
}
