package stats

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// metricKind is the type of a metric in a statsd line.
type metricKind string

const (
	counter metricKind = "c"
	gauge   metricKind = "g"
)

// Metrics are what operators monitor while a server runs.
type Metrics struct {
	*Counters
	InFlight int // requests that have no reply yet
}

// Append appends the metrics as lines of statsd, NAME:VALUE|c for a counter and NAME:VALUE|g for a gauge.
func (m Metrics) Append(b []byte) []byte {
	for _, class := range slices.Sorted(maps.Keys(m.Responses)) {
		counts := m.Responses[class]
		prefix := "calls." + sanitize(class) + "."
		b = appendLine(b, prefix+"success", counts.Served, counter)
		b = appendLine(b, prefix+"busy", counts.Rejected, counter)
		b = appendLine(b, prefix+"failure", counts.Failed, counter)
	}
	b = appendLine(b, "backend_calls", m.Runs, counter)
	b = appendLine(b, "inflight", uint64(m.InFlight), gauge)
	b = appendLine(b, "reconfig_ok", m.Reloads, counter)
	return appendLine(b, "reconfig_failed", m.ReloadsFailed, counter)
}

// appendLine appends one line.
func appendLine(b []byte, name string, value uint64, kind metricKind) []byte {
	b = append(b, "app."...)
	b = append(b, name...)
	b = append(b, ':')
	b = strconv.AppendUint(b, value, 10)
	b = append(b, '|')
	b = append(b, kind...)
	return append(b, '\n')
}

// sanitize replaces the characters of a class that would end a part of a name or a line.
func sanitize(class string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || strings.ContainsRune(".:|@#/", r) {
			return '_'
		}
		return r
	}, class)
}
