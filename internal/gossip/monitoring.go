package gossip

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"falldeal/internal/console"
	"falldeal/internal/fleet"
)

// metricType is the type of a metric in a StatsD line.
type metricType string

const (
	gauge   metricType = "g"
	counter metricType = "c"
)

// Page returns the console page with the report of the last snapshot. The page responds also while the server loop stalls.
// Any goroutine may call Page.
func (f *Fleet) Page() console.Page {
	return console.Page{Pattern: "GET /fleet", Type: "application/json", Body: func() []byte {
		report := f.Snapshot().Report(f.Now())
		report.Counters = f.Counters.values()
		b, err := json.Marshal(report)
		if err != nil {
			return []byte("{}") // does not happen: every value of a report can be marshalled
		}
		return append(b, '\n')
	}}
}

// AppendMetrics appends the metrics of the fleet as StatsD lines, NAME:VALUE|TYPE. Any goroutine may call it.
func (f *Fleet) AppendMetrics(b []byte) []byte {
	snapshot, now := f.Snapshot(), f.Now()
	aggregate := snapshot.Aggregate(now, fleet.MaxFreshAge(len(snapshot.Members)))
	count := &snapshot.Total.Count
	for _, metric := range []struct {
		name  string
		value int64
	}{
		{"known", int64(snapshot.Total.Known)},
		{"alive", int64(count[fleet.Alive])},
		{"suspect", int64(count[fleet.Suspect])},
		{"wedged", int64(count[fleet.Stalled])},
		{"cut_off", int64(count[fleet.Unreachable])},
		{"dead", int64(count[fleet.Failed])},
		{"left", int64(count[fleet.Left])},
		{"stale", int64(aggregate.Stale)},
		{"position", int64(snapshot.Position)},
		{"heard_ms", snapshot.LastReceivedMs(now)},
		{"oldest_ms", aggregate.OldestAge.Milliseconds()},
	} {
		b = appendMetric(b, metric.name, metric.value, gauge)
	}
	counters := f.Counters.values()
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		b = appendMetric(b, name, counters[name], counter)
	}
	return b
}

func appendMetric(b []byte, name string, value int64, kind metricType) []byte {
	b = append(b, "app.fleet."...)
	b = append(b, name...)
	b = append(b, ':')
	b = strconv.AppendInt(b, value, 10)
	b = append(b, '|')
	b = append(b, kind...)
	return append(b, '\n')
}
