// Package tracing writes spans of what changes in a server's part of its fleet, by OpenTelemetry, to a file of bounded
// size: a span for each state that is not the usual one, from its beginning to its end, and one over all of them until
// the usual state is back. Spans are sampled by such an episode, so that one is whole or not there.
//
// Nothing here blocks the loop: spans that have ended wait in a bounded queue, and what is too much is dropped.
package tracing

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Config says where spans go.
type Config struct {
	File   string
	Sample float64 // share of the episodes, 0 to 1
	Bytes  int64   // of the file, at most; then nothing more is written
}

// Bounds of what is held in memory.
const (
	maxQueuedSpans = 512 // spans that wait to be written
	maxBatchSpans  = 64
)

// Tracer belongs to one goroutine, the loop of the server; Close may be called once it is over.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *boundedFile
	episodes map[string]*episode
}

// episode is a time in which one thing is not as usual.
type episode struct {
	ctx       context.Context
	span      trace.Span
	stateSpan trace.Span
}

// New opens the file, which is appended to. Name and version are those of the server.
func New(cfg Config, name, version string) (*Tracer, error) {
	file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return nil, err
	}
	output := &boundedFile{file: file, remaining: cfg.Bytes - info.Size()}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(output))
	if err != nil {
		file.Close()
		return nil, err
	}
	provider := sdk.NewTracerProvider(sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(cfg.Sample))),
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithMaxExportBatchSize(maxBatchSpans)),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "falldeal"), attribute.String("service.instance.id", name),
			attribute.String("service.version", version))))
	return &Tracer{provider: provider, tracer: provider.Tracer("falldeal"), file: output, episodes: map[string]*episode{}}, nil
}

// Change notes that something went from one state to another; "" is the usual state. Fields say why, and go to the state
// that begins, or to the whole where that ends.
func (t *Tracer) Change(what, from, to string, fields map[string]any) {
	current := t.episodes[what]
	if current == nil {
		if to == "" {
			return
		}
		current = &episode{}
		current.ctx, current.span = t.tracer.Start(context.Background(), what)
		t.episodes[what] = current
	}
	if current.stateSpan != nil {
		current.stateSpan.End()
		current.stateSpan = nil
	}
	if to == "" {
		if current.span.IsRecording() {
			current.span.SetAttributes(attributes(fields)...)
		}
		current.span.End()
		delete(t.episodes, what)
		return
	}
	_, current.stateSpan = t.tracer.Start(current.ctx, what+": "+to)
	if current.stateSpan.IsRecording() {
		current.stateSpan.SetAttributes(append(attributes(fields), attribute.String("from", from))...)
	}
}

func attributes(fields map[string]any) (list []attribute.KeyValue) {
	for key, value := range fields {
		switch v := value.(type) {
		case bool:
			list = append(list, attribute.Bool(key, v))
		case int:
			list = append(list, attribute.Int(key, v))
		case int64:
			list = append(list, attribute.Int64(key, v))
		case float64:
			list = append(list, attribute.Float64(key, v))
		default:
			list = append(list, attribute.String(key, fmt.Sprint(v)))
		}
	}
	return list
}

// Close ends what is open and writes what waits, as far as ctx gives time.
func (t *Tracer) Close(ctx context.Context) error {
	for what := range t.episodes {
		t.Change(what, "", "", map[string]any{"end": "of the process"})
	}
	return errors.Join(t.provider.Shutdown(ctx), t.file.file.Close())
}

// Lost is how many writes there was no room for.
func (t *Tracer) Lost() int64 { return t.file.dropped.Load() }

// boundedFile is a file that takes so many bytes and drops what is more, a write as a whole: no line is torn.
type boundedFile struct {
	file      *os.File
	remaining int64
	dropped   atomic.Int64
}

func (b *boundedFile) Write(p []byte) (int, error) {
	if int64(len(p)) > b.remaining {
		b.dropped.Add(1)
		return len(p), nil
	}
	b.remaining -= int64(len(p))
	return b.file.Write(p)
}
