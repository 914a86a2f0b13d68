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
func (f Metrics) Append(b []byte) []byte {
	line := func(name string, v uint64, kind string) {
		b = append(append(b, "app."...), name...)
		b = append(strconv.AppendUint(append(b, ':'), v, 10), '|')
		b = append(append(b, kind...), '\n')
	}
	for _, name := range slices.Sorted(maps.Keys(f.Answers)) {
		a := f.Answers[name]
		under := "calls." + word(name) + "."
		line(under+"success", a.Served, "c")
		line(under+"busy", a.Rejected, "c")
		line(under+"failure", a.Failed, "c")
	}
	line("backend_calls", f.Runs, "c")
	line("inflight", uint64(f.Open), "g")
	line("reconfig_ok", f.Reloads, "c")
	line("reconfig_failed", f.ReloadsFailed, "c")
	return b
}

// word keeps a name from being taken for several parts of a line.
func word(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || strings.ContainsRune(".:|@#/", r) {
			return '_'
		}
		return r
	}, name)
}
