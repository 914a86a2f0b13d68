package gossip

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"

	"falldeal/internal/console"
)

// all are the counters by name.
func (c *Counters) all() map[string]int64 {
	m := map[string]int64{}
	for name, v := range map[string]*atomic.Int64{"packets_out": &c.PacketsOut, "bytes_out": &c.BytesOut, "streams": &c.Streams,
		"stream_bytes_out": &c.StreamBytes, "words": &c.Words, "news": &c.News, "spoilt": &c.Spoilt, "strangers": &c.Strangers,
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

// Figures appends the figures of the fleet to those of the server, in the same form.
func (f *Fleet) Figures(b []byte) []byte {
	line := func(name string, v int64, kind string) {
		b = append(append(append(b, "app.fleet."...), name...), ':')
		b = append(append(append(strconv.AppendInt(b, v, 10), '|'), kind...), '\n')
	}
	s := f.Snapshot()
	t := s.Report(f.Now())
	for _, x := range []struct {
		name string
		v    int
	}{{"known", t.Total.Known}, {"alive", t.Total.Alive}, {"suspect", t.Total.Suspect}, {"wedged", t.Total.Wedged},
		{"cut_off", t.Total.CutOff}, {"dead", t.Total.Dead}, {"left", t.Total.Left}, {"stale", t.Fresh.Stale},
		{"position", int(s.Position)}} {
		line(x.name, int64(x.v), "g")
	}
	line("heard_ms", t.HeardMs, "g")
	line("oldest_ms", t.Fresh.OldestMs, "g")
	counters := f.Counters.all()
	for _, name := range sortedNames(counters) {
		line(name, counters[name], "c")
	}
	return b
}

func sortedNames(m map[string]int64) []string { return slices.Sorted(maps.Keys(m)) }
