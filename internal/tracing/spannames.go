package tracing

// Operators' tools read spans, so that their names and attributes stay as they are, whatever the server calls the same
// thing in its log. The functions here give the name in spans for a name of the server's state changes; a name that is
// not in them is the same in both.

// episodeName returns the name of an episode by the name of what changes state.
func episodeName(name string) string {
	switch name {
	case "shedding threshold":
		return "cutoff of the fleet"
	case "store state":
		return "store, as this member finds it"
	case "store quota":
		return "share of the store"
	}
	return name
}

// stateName returns the name of a state in spans.
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

// attributeName returns the key of an attribute by the name of a field.
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
