package tracing

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// randomFields matches what differs between runs: times, and identifiers. An identifier of zeros means none and does not
// match.
var randomFields = regexp.MustCompile(`"(TraceID|SpanID|StartTime|EndTime)":` +
	`"([0-9a-f]*[1-9a-f][0-9a-f]*|\d{4}-\d\d-\d\dT[^"]+)"`)

// writeSpans writes episodes with every type of attribute, and returns the contents of the file. Each episode has at most
// one field, as the order of attributes is not fixed.
func writeSpans(t *testing.T) []byte {
	t.Helper()
	t.Setenv("OTEL_RESOURCE_ATTRIBUTES", "")
	t.Setenv("OTEL_SERVICE_NAME", "")
	path := filepath.Join(t.TempDir(), "spans.jsonl")
	tracer, err := New(Config{File: path, Sample: 1, MaxBytes: 1 << 20}, "n1", "1.2.3")
	require.NoError(t, err)
	tracer.Change("cutoff", "", "full", map[string]any{"place": 7.5})
	tracer.Change("cutoff", "full", "sinking", nil)
	tracer.Change("cutoff", "sinking", "", map[string]any{"known": true})
	for _, field := range []struct {
		name  string
		value any
	}{
		{"int", 12}, {"int64", int64(1) << 40}, {"float", 0.25}, {"text", "a \"word\""}, {"other", 1500 * time.Millisecond},
	} {
		tracer.Change("store", "", "trouble", map[string]any{field.name: field.value})
		tracer.Change("store", "trouble", "", nil)
	}
	tracer.Change("fleet", "", "torn", nil)
	require.NoError(t, tracer.Close(context.Background())) // with an open episode
	file, err := os.ReadFile(path)
	require.NoError(t, err)
	return file
}

// Operators' tools read the file. Its format, one span per line, and the names, attributes and resource in it must not
// change.
func TestGoldenSpans(t *testing.T) {
	file := writeSpans(t)
	got := randomFields.ReplaceAll(file, []byte(`"$1":"drawn"`))
	golden.RequireFile(t, "spans.jsonl", string(got))
}
