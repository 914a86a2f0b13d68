package tracing

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// spanLine holds the parts of a span that the tests compare.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

// readSpans returns the spans in the file at path.
func readSpans(t *testing.T, path string) (spans []spanLine) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for line := range bytes.Lines(text) {
		var span spanLine
		require.NoError(t, json.Unmarshal(line, &span), "each line must be complete")
		spans = append(spans, span)
	}
	return spans
}

// An episode must be one trace with a child span for each of its states, even if the process ends during the episode. With
// a sample ratio of 0 nothing must be written. A full file must neither grow nor end in a truncated line.
func TestEpisodesAreTraces(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	writeEpisodes := func(cfg Config) *Tracer {
		tracer, err := New(cfg, "n1", "1")
		require.NoError(t, err)
		tracer.Change("cutoff", "", "", nil) // no episode
		tracer.Change("cutoff", "", "full", map[string]any{"place": 7.5, "members": 12})
		tracer.Change("store", "", "trouble", map[string]any{"agree": 3})
		tracer.Change("cutoff", "full", "sinking", nil)
		tracer.Change("cutoff", "sinking", "", map[string]any{"known": true})
		require.NoError(t, tracer.Close(context.Background()))
		return tracer
	}
	writeEpisodes(Config{File: path, Sample: 1, MaxBytes: 1 << 20})
	byName := map[string]spanLine{}
	for _, span := range readSpans(t, path) {
		byName[span.Name] = span
	}
	require.Len(t, byName, 5)
	episode := byName["cutoff"]
	for _, name := range []string{"cutoff: full", "cutoff: sinking"} {
		require.Equal(t, episode.SpanContext.TraceID, byName[name].SpanContext.TraceID)
		require.Equal(t, episode.SpanContext.SpanID, byName[name].Parent.SpanID)
	}
	require.NotEqual(t, episode.SpanContext.TraceID, byName["store"].SpanContext.TraceID)
	require.Len(t, byName["cutoff: full"].Attributes, 3)

	info, err := os.Stat(path)
	require.NoError(t, err)
	writeEpisodes(Config{File: path, Sample: 0, MaxBytes: 1 << 20})
	full := writeEpisodes(Config{File: path, Sample: 1, MaxBytes: info.Size() + 100})
	require.Positive(t, full.DroppedWrites())
	require.Len(t, readSpans(t, path), 5)
	_, err = New(Config{File: filepath.Join(path, "x")}, "n1", "1")
	require.Error(t, err)
}

// Operators' tools look for the names in spans. They must not change when a name in the server's log does.
func TestSpanNamesAreStable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	tracer, err := New(Config{File: path, Sample: 1, MaxBytes: 1 << 20}, "n1", "1")
	require.NoError(t, err)
	fields := map[string]any{"threshold": 7.5, "service_rate": 3.5, "retry_ratio": 0.25, "unhealthy_members": 2, "offered": 4.5}
	tracer.Change("shedding threshold", "full", "decreasing", fields)
	tracer.Change("store state", "", "unresponsive", nil)
	tracer.Change("store state", "unresponsive", "probing", nil)
	tracer.Change("store state", "probing", "recovering", nil)
	tracer.Change("store quota", "", "2.5", nil)
	require.NoError(t, tracer.Close(context.Background()))
	attributesOf := map[string]map[string]any{}
	for _, span := range readSpans(t, path) {
		attributesOf[span.Name] = map[string]any{}
		for _, attribute := range span.Attributes {
			attributesOf[span.Name][attribute.Key] = attribute.Value.Value
		}
	}
	require.Equal(t, map[string]any{"from": "full", "place": 7.5, "pace": 3.5, "again": 0.25, "agree": 2.0, "offered": 4.5},
		attributesOf["cutoff of the fleet: sinking"])
	require.Equal(t, map[string]any{"from": ""}, attributesOf["store, as this member finds it: trouble"])
	require.Equal(t, map[string]any{"from": "trouble"}, attributesOf["store, as this member finds it: trying"])
	require.Equal(t, map[string]any{"from": "trying"}, attributesOf["store, as this member finds it: back"])
	require.Contains(t, attributesOf, "share of the store: 2.5")
}

func BenchmarkChange(b *testing.B) {
	for name, sample := range map[string]float64{"sampled": 1, "not sampled": 0} {
		b.Run(name, func(b *testing.B) {
			tracer, err := New(Config{File: filepath.Join(b.TempDir(), "spans"), Sample: sample, MaxBytes: 1 << 20}, "n1", "1")
			require.NoError(b, err)
			fields := map[string]any{"place": 7.5, "members": 12, "known": true}
			b.ReportAllocs()
			for b.Loop() {
				tracer.Change("cutoff", "", "full", fields)
				tracer.Change("cutoff", "full", "", nil)
			}
			require.NoError(b, tracer.Close(context.Background()))
		})
	}
}
