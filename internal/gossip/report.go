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

// all are the counters by name.
func (c *Counters) all() map[string]int64 {
	m := map[string]int64{}
	for name, v := range map[string]*atomic.Int64{"packets_out": &c.PacketsOut, "bytes_out": &c.BytesOut, "streams": &c.Streams,
		"stream_bytes_out": &c.StreamBytes, "words": &c.Updates, "news": &c.NewUpdates, "spoilt": &c.Malformed, "strangers": &c.ForeignPackets,
		"overflow": &c.Overflow, "calls": &c.Calls, "calls_failed": &c.CallsFailed, "direct": &c.Direct, "suspicions": &c.Suspicions,
		"objections": &c.Objections} {
		m[name] = v.Load()
	}
	return m
}

// Page is the console's call that gives the view, from the last snapshot: it answers also while the loop stands still.
func (f *Fleet) Page() console.Page {
	return console.Page{Pattern: "GET /fleet", Type: "application/json", Do: func() []byte {
		r := f.Snapshot().Report(f.Now())
		r.Counters = f.Counters.all()
		b, err := json.Marshal(r)
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
	s, now := f.Snapshot(), f.Now()
	sum, count := s.Aggregate(now, fleet.Fresh(len(s.Members))), &s.Total.Count
	for _, x := range []struct {
		name string
		v    int
	}{{"known", s.Total.Known}, {"alive", count[fleet.Alive]}, {"suspect", count[fleet.Suspect]}, {"wedged", count[fleet.Wedged]},
		{"cut_off", count[fleet.Silent]}, {"dead", count[fleet.Dead]}, {"left", count[fleet.Left]}, {"stale", sum.Stale},
		{"position", int(s.Position)}} {
		line(x.name, int64(x.v), "g")
	}
	line("heard_ms", s.LastReceivedMs(now), "g")
	line("oldest_ms", sum.Oldest.Milliseconds(), "g")
	counters := f.Counters.all()
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		line(name, counters[name], "c")
	}
	return b
}
