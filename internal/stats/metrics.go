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

// The names of metrics. Operators' tools read them.
const (
	metricServed          = "success"         // of a class: requests answered with a result
	metricRejected        = "busy"            // of a class: requests rejected, which did not run
	metricFailed          = "failure"         // of a class: requests answered with an error, which may have run
	metricRuns            = "backend_calls"   // runs sent to the agent
	metricInFlight        = "inflight"        // gauge: requests that have no reply yet
	metricReloads         = "reconfig_ok"     // reloads of the configuration that were applied
	metricReloadsFailed   = "reconfig_failed" // reloads that failed, after which the configuration stayed
	metricClassNamePrefix = "calls."          // before the name of the class
)

// Append appends the metrics as lines of statsd, NAME:VALUE|c for a counter and NAME:VALUE|g for a gauge.
func (m Metrics) Append(b []byte) []byte {
	for _, class := range slices.Sorted(maps.Keys(m.Responses)) {
		counts := m.Responses[class]
		prefix := metricClassNamePrefix + sanitize(class) + "."
		b = appendLine(b, prefix+metricServed, counts.Served, counter)
		b = appendLine(b, prefix+metricRejected, counts.Rejected, counter)
		b = appendLine(b, prefix+metricFailed, counts.Failed, counter)
	}
	b = appendLine(b, metricRuns, m.Runs, counter)
	b = appendLine(b, metricInFlight, uint64(m.InFlight), gauge)
	b = appendLine(b, metricReloads, m.Reloads, counter)
	return appendLine(b, metricReloadsFailed, m.ReloadsFailed, counter)
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
