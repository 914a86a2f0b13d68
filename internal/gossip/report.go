package gossip

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"

	"falldeal/internal/console"
	"falldeal/internal/fleet"
)

// byName are the counters by name.
func (c *Counters) byName() map[string]int64 {
	values := map[string]int64{}
	for name, counter := range map[string]*atomic.Int64{"packets_out": &c.PacketsOut, "bytes_out": &c.BytesOut, "streams": &c.Streams,
		"stream_bytes_out": &c.StreamBytes, "words": &c.Updates, "news": &c.NewUpdates, "spoilt": &c.Malformed, "strangers": &c.ForeignPackets,
		"overflow": &c.Overflow, "calls": &c.Calls, "calls_failed": &c.CallsFailed, "direct": &c.Direct, "suspicions": &c.Suspicions,
		"objections": &c.Objections} {
		values[name] = counter.Load()
	}
	return values
}

// Page is the console's call that gives the view, from the last snapshot: it answers also while the loop stands still.
func (f *Fleet) Page() console.Page {
	return console.Page{Pattern: "GET /fleet", Type: "application/json", Do: func() []byte {
		report := f.Snapshot().Report(f.Now())
		report.Counters = f.Counters.byName()
		b, err := json.Marshal(report)
		if err != nil {
			return []byte("{}") // no value of a report can't be written
		}
		return append(b, '\n')
	}}
}

// AppendMetrics appends the figures of the fleet to those of the server, in the same form.
func (f *Fleet) AppendMetrics(b []byte) []byte {
	line := func(name string, v int64, kind string) {
		b = append(append(append(b, "app.fleet."...), name...), ':')
		b = append(append(append(strconv.AppendInt(b, v, 10), '|'), kind...), '\n')
	}
	snapshot, now := f.Snapshot(), f.Now()
	aggregate, count := snapshot.Aggregate(now, fleet.Fresh(len(snapshot.Members))), &snapshot.Total.Count
	for _, gauge := range []struct {
		name string
		v    int
	}{{"known", snapshot.Total.Known}, {"alive", count[fleet.Alive]}, {"suspect", count[fleet.Suspect]}, {"wedged", count[fleet.Wedged]},
		{"cut_off", count[fleet.Silent]}, {"dead", count[fleet.Dead]}, {"left", count[fleet.Left]}, {"stale", aggregate.Stale},
		{"position", int(snapshot.Position)}} {
		line(gauge.name, int64(gauge.v), "g")
	}
	line("heard_ms", snapshot.LastReceivedMs(now), "g")
	line("oldest_ms", aggregate.Oldest.Milliseconds(), "g")
	counters := f.Counters.byName()
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		line(name, counters[name], "c")
	}
	return b
}
