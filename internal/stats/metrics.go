package stats

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// metricKind is the type of a metric in a StatsD line.
type metricKind string

const (
	counter metricKind = "c"
	gauge   metricKind = "g"
)

// Metrics are the counters and the gauges that operators monitor while a server runs.
type Metrics struct {
	*Counters
	InFlight int // requests without a response
	Tables   Tables
}

// The names of the metrics. Operators' tools read them.
const (
	metricServed          = "success"         // counter of a class: requests answered with a result
	metricRejected        = "busy"            // counter of a class: requests that were rejected and did not run
	metricFailed          = "failure"         // counter of a class: requests answered with an error, which may have run
	metricRuns            = "backend_calls"   // counter: runs sent to the agent
	metricInFlight        = "inflight"        // gauge: requests without a response
	metricReloads         = "reconfig_ok"     // counter: reloads of the configuration that were applied
	metricReloadsFailed   = "reconfig_failed" // counter: reloads that failed; the configuration stayed as it was
	metricClassNamePrefix = "calls."          // precedes the name of the class
	metricTablePrefix     = "tables."         // precedes the name of a table; gauge: its entries
)

// Append appends the metrics as StatsD lines: NAME:VALUE|c for a counter, NAME:VALUE|g for a gauge.
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
	for _, table := range m.Tables.sizes() {
		b = appendLine(b, metricTablePrefix+table.name, uint64(table.size), gauge)
	}
	b = appendLine(b, metricReloads, m.Reloads, counter)
	return appendLine(b, metricReloadsFailed, m.ReloadsFailed, counter)
}

// appendLine appends a metric as a StatsD line, with the prefix app. before its name.
func appendLine(b []byte, name string, value uint64, kind metricKind) []byte {
	b = append(b, "app."...)
	b = append(b, name...)
	b = append(b, ':')
	b = strconv.AppendUint(b, value, 10)
	b = append(b, '|')
	b = append(b, kind...)
	return append(b, '\n')
}

// sanitize replaces the characters in the name of a class that separate the parts of a metric name or of a line.
func sanitize(class string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || strings.ContainsRune(".:|@#/", r) {
			return '_'
		}
		return r
	}, class)
}
