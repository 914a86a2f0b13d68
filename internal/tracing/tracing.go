// Package tracing writes OpenTelemetry spans of the state changes that a member of a fleet goes through to a file of bounded
// size, one span per line.
//
//   - A subject is something with a state, such as the store. Its normal state is "".
//   - An episode begins when a subject leaves its normal state and ends when the subject returns to it.
//   - An episode is one trace: a root span for the episode, and a child span for each state in it.
//   - Episodes are sampled as a whole, so that sampling never leaves out a part of a trace.
//
// The package does not block the event loop: ended spans wait in a bounded queue, and spans beyond its bound are dropped.
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

// Bounds of the queue of ended spans.
const (
	maxQueuedSpans = 512 // spans that wait to be written
	maxBatchSpans  = 64  // spans that are written at a time
)

const serviceName = "falldeal"

// Config configures a Tracer.
type Config struct {
	File     string  // path of the file, which is appended to
	Sample   float64 // ratio of the episodes that are written, 0 to 1
	MaxBytes int64   // of the file; spans that do not fit are dropped
}

// Tracer writes spans. It belongs to one goroutine, the event loop of the server. Close may be called after that goroutine
// has ended.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *boundedFile
	episodes map[string]*episode // open episodes by the name of the subject in spans
}

// New returns a Tracer that appends to cfg.File. name and version are those of the server.
func New(cfg Config, name, version string) (*Tracer, error) {
	file, err := openBounded(cfg.File, cfg.MaxBytes)
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

// Change records that subject changed from one state to another; "" is the normal state. fields become attributes of the
// span of the new state, or of the episode if the new state is the normal one. All names are those of the server's log. The
// spans contain the names that episodeName, stateName and attributeName return.
func (t *Tracer) Change(subject, from, to string, fields map[string]any) {
	subject = episodeName(subject)
	from = stateName(from)
	to = stateName(to)
	current := t.episodes[subject]
	if current == nil {
		if to == "" {
			return
		}
		current = startEpisode(t.tracer, subject)
		t.episodes[subject] = current
	}
	current.endState()
	if to == "" {
		current.end(fields)
		delete(t.episodes, subject)
		return
	}
	current.startState(t.tracer, subject+": "+to, from, fields)
}

// Close ends the open episodes, writes the queued spans until ctx ends, and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	for subject := range t.episodes {
		t.Change(subject, "", "", map[string]any{"end": "of the process"})
	}
	return errors.Join(t.provider.Shutdown(ctx), t.file.Close())
}

// DroppedWrites returns the number of writes that did not fit in the file. Each of them was to write one span. It is safe for
// concurrent use.
func (t *Tracer) DroppedWrites() int64 { return t.file.dropped.Load() }

// episode is a period in which one subject is not in its normal state.
type episode struct {
	ctx       context.Context //nolint:containedctx // holds the root span, as the parent of all spans of states
	span      trace.Span      // root span
	stateSpan trace.Span      // span of the current state; nil between two states
}

// startEpisode starts the root span of an episode.
func startEpisode(tracer trace.Tracer, subject string) *episode {
	ctx, span := tracer.Start(context.Background(), subject)
	return &episode{ctx: ctx, span: span}
}

// startState starts the span of a state.
func (e *episode) startState(tracer trace.Tracer, name, from string, fields map[string]any) {
	_, e.stateSpan = tracer.Start(e.ctx, name)
	if e.stateSpan.IsRecording() {
		e.stateSpan.SetAttributes(append(attributes(fields), attribute.String("from", from))...)
	}
}

// endState ends the span of the current state, if any.
func (e *episode) endState() {
	if e.stateSpan != nil {
		e.stateSpan.End()
		e.stateSpan = nil
	}
}

// end ends the root span.
func (e *episode) end(fields map[string]any) {
	if e.span.IsRecording() {
		e.span.SetAttributes(attributes(fields)...)
	}
	e.span.End()
}

// attributes returns the fields as attributes. A value of another type than bool, int, int64 and float64 becomes a string.
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
