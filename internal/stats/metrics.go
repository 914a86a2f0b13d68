package stats

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Answers counts what the requests of one class were answered.
type Answers struct{ Served, Rejected, Failed uint64 }

// Metrics are what operators watch while a server runs.
type Metrics struct {
	*Counters
	Open int // requests taken and not answered yet
}

// Append appends the figures as lines of the statsd form, NAME:VALUE|c for a count and |g for a level.
func (m Metrics) Append(b []byte) []byte {
	appendLine := func(name string, value uint64, kind string) {
		b = append(append(b, "app."...), name...)
		b = append(strconv.AppendUint(append(b, ':'), value, 10), '|')
		b = append(append(b, kind...), '\n')
	}
	for _, name := range slices.Sorted(maps.Keys(m.Answers)) {
		answers := m.Answers[name]
		prefix := "calls." + sanitize(name) + "."
		appendLine(prefix+"success", answers.Served, "c")
		appendLine(prefix+"busy", answers.Rejected, "c")
		appendLine(prefix+"failure", answers.Failed, "c")
	}
	appendLine("backend_calls", m.Runs, "c")
	appendLine("inflight", uint64(m.Open), "g")
	appendLine("reconfig_ok", m.Reloads, "c")
	appendLine("reconfig_failed", m.ReloadsFailed, "c")
	return b
}

// sanitize keeps a name from being taken for several parts of a line.
func sanitize(class string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || strings.ContainsRune(".:|@#/", r) {
			return '_'
		}
		return r
	}, class)
}
