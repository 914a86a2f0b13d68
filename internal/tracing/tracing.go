// Package tracing writes OpenTelemetry spans of state changes in a server's part of its fleet to a file of bounded size.
// A thing that leaves its usual state begins an episode, which ends when it is back. An episode is one trace: a span for
// the whole of it, and a child span for each state. Spans are sampled by episode, so that one is complete or absent.
//
// Nothing here blocks the event loop: spans that have ended wait in a bounded queue, and the excess is dropped.
package tracing

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Bounds of what is kept in memory.
const (
	maxQueuedSpans = 512 // that wait to be written
	maxBatchSpans  = 64
)

const serviceName = "falldeal"

// Config says where spans are written.
type Config struct {
	File   string
	Sample float64 // ratio of the episodes that are written, 0 to 1
	Bytes  int64   // maximum size of the file, beyond which nothing is written
}

// Tracer writes spans. It belongs to one goroutine, the event loop of the server; Close may be called once that has
// ended.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *boundedFile
	episodes map[string]*episode // that have not ended, by what they are about
}

// New opens the file, which is appended to. Name and version are those of the server.
func New(cfg Config, name, version string) (*Tracer, error) {
	file, err := openBounded(cfg.File, cfg.Bytes)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	provider := sdk.NewTracerProvider(
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(cfg.Sample))),
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithMaxExportBatchSize(maxBatchSpans)),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", serviceName),
			attribute.String("service.instance.id", name),
			attribute.String("service.version", version),
		)),
	)
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer(serviceName),
		file:     file,
		episodes: map[string]*episode{},
	}, nil
}

// Change records that something went from one state to another; "" is the usual state. Fields become attributes of the
// state that begins, or of the episode where it ends. Names are those of the server's log; in spans they are those of
// spannames.go.
func (t *Tracer) Change(what, from, to string, fields map[string]any) {
	what = episodeName(what)
	from = stateName(from)
	to = stateName(to)
	current := t.episodes[what]
	if current == nil {
		if to == "" {
			return
		}
		current = startEpisode(t.tracer, what)
		t.episodes[what] = current
	}
	current.endState()
	if to == "" {
		current.end(fields)
		delete(t.episodes, what)
		return
	}
	current.startState(t.tracer, what+": "+to, from, fields)
}

// Close ends the open episodes and writes the queued spans, as far as ctx gives time.
func (t *Tracer) Close(ctx context.Context) error {
	for what := range t.episodes {
		t.Change(what, "", "", map[string]any{"end": "of the process"})
	}
	return errors.Join(t.provider.Shutdown(ctx), t.file.Close())
}

// Lost returns how many writes were dropped for lack of space. It is safe for concurrent use.
func (t *Tracer) Lost() int64 { return t.file.dropped.Load() }

// episode is a time in which one thing is not in its usual state.
type episode struct {
	ctx       context.Context //nolint:containedctx // the parent of the spans of states, made once for all of them
	span      trace.Span
	stateSpan trace.Span // nil between two states
}

func startEpisode(tracer trace.Tracer, what string) *episode {
	ctx, span := tracer.Start(context.Background(), what)
	return &episode{ctx: ctx, span: span}
}

func (e *episode) startState(tracer trace.Tracer, name, from string, fields map[string]any) {
	_, e.stateSpan = tracer.Start(e.ctx, name)
	if e.stateSpan.IsRecording() {
		e.stateSpan.SetAttributes(append(attributes(fields), attribute.String("from", from))...)
	}
}

func (e *episode) endState() {
	if e.stateSpan != nil {
		e.stateSpan.End()
		e.stateSpan = nil
	}
}

func (e *episode) end(fields map[string]any) {
	if e.span.IsRecording() {
		e.span.SetAttributes(attributes(fields)...)
	}
	e.span.End()
}

func attributes(fields map[string]any) []attribute.KeyValue {
	var list []attribute.KeyValue
	for name, field := range fields {
		key := attributeName(name)
		switch value := field.(type) {
		case bool:
			list = append(list, attribute.Bool(key, value))
		case int:
			list = append(list, attribute.Int(key, value))
		case int64:
			list = append(list, attribute.Int64(key, value))
		case float64:
			list = append(list, attribute.Float64(key, value))
		default:
			list = append(list, attribute.String(key, fmt.Sprint(value)))
		}
	}
	return list
}
