package tracing

// Operators' tools read spans. The names and attribute keys in them therefore never change, although the server's log uses
// other names for the same things. The functions in this file map the names of the server's state changes to those in
// spans. They return a name unchanged if spans contain the same one.

// episodeName returns the name in spans of a subject whose state changes.
func episodeName(subject string) string {
	switch subject {
	case "shedding threshold":
		return "cutoff of the fleet"
	case "store state":
		return "store, as this member finds it"
	case "store quota":
		return "share of the store"
	}
	return subject
}

// stateName returns the name in spans of a state.
func stateName(name string) string {
	switch name {
	case "decreasing":
		return "sinking"
	case "unresponsive":
		return "trouble"
	case "probing":
		return "trying"
	case "recovering":
		return "back"
	}
	return name
}

// attributeName returns the attribute key in spans of a field.
func attributeName(name string) string {
	switch name {
	case "threshold":
		return "place"
	case "service_rate":
		return "pace"
	case "retry_ratio":
		return "again"
	case "unhealthy_members":
		return "agree"
	}
	return name
}
