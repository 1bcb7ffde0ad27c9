package telemetry

import (
	"context"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// ringSize is the number of ended spans kept for operators.
const ringSize = 4096

// Span is an ended span as operators see it.
type Span struct {
	Trace    string            `json:"trace"`
	Span     string            `json:"span"`
	Parent   string            `json:"parent,omitempty"`
	Name     string            `json:"name"`
	Start    time.Time         `json:"start"`
	Duration time.Duration     `json:"duration"` // nanoseconds
	Attrs    map[string]string `json:"attrs,omitempty"`
}

// Ring is a span processor that keeps the newest ended spans.
type Ring struct {
	mu    sync.Mutex
	spans [ringSize]sdktrace.ReadOnlySpan
	next  int
}

// OnStart implements sdktrace.SpanProcessor.
func (*Ring) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd implements sdktrace.SpanProcessor.
func (r *Ring) OnEnd(s sdktrace.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans[r.next] = s
	r.next = (r.next + 1) % ringSize
}

// Shutdown implements sdktrace.SpanProcessor.
func (*Ring) Shutdown(context.Context) error { return nil }

// ForceFlush implements sdktrace.SpanProcessor.
func (*Ring) ForceFlush(context.Context) error { return nil }

// Request returns the kept spans of the traces in which request ran.
func (r *Ring) RequestSpans(id string) []Span {
	r.mu.Lock()
	all := r.spans
	r.mu.Unlock()
	traces := map[string]bool{}
	for _, s := range all {
		if s != nil && attrs(s)["request"] == id {
			traces[s.SpanContext().TraceID().String()] = true
		}
	}
	var out []Span
	for _, s := range all {
		if s != nil && traces[s.SpanContext().TraceID().String()] {
			out = append(out, render(s))
		}
	}
	return out
}

func attrs(s sdktrace.ReadOnlySpan) map[string]string {
	m := map[string]string{}
	for _, a := range s.Attributes() {
		m[string(a.Key)] = a.Value.String()
	}
	return m
}

func render(s sdktrace.ReadOnlySpan) Span {
	out := Span{
		Trace: s.SpanContext().TraceID().String(), Span: s.SpanContext().SpanID().String(),
		Name: s.Name(), Start: s.StartTime(), Duration: s.EndTime().Sub(s.StartTime()), Attrs: attrs(s),
	}
	if s.Parent().IsValid() {
		out.Parent = s.Parent().SpanID().String()
	}
	return out
}
