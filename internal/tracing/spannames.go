package tracing

// Operators' tools read spans, so that their names and attributes stay as they are, whatever the server calls the same
// thing in its log. These tables give the names in spans for those of the server's state changes; a name that is not in
// them is the same in both.

// episodeNames is the name of an episode by the name of what changes state.
var episodeNames = map[string]string{
	"shedding threshold": "cutoff of the fleet",
	"store state":        "store, as this member finds it",
	"store quota":        "share of the store",
}

// stateNames is the name of a state in spans.
var stateNames = map[string]string{
	"decreasing":   "sinking",
	"unresponsive": "trouble",
	"probing":      "trying",
	"recovering":   "back",
}

// attributeNames is the key of an attribute by the name of a field.
var attributeNames = map[string]string{
	"rank":              "place",
	"service_rate":      "pace",
	"retry_ratio":       "again",
	"unhealthy_members": "agree",
}

// nameIn returns the name in spans, by one of the tables.
func nameIn(table map[string]string, name string) string {
	if spanName, ok := table[name]; ok {
		return spanName
	}
	return name
}
