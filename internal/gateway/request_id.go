package gateway

import (
	"context"
	"net/http"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/apricotstream/apricotstream/internal/forward"
)

const requestIDKey = "request-id"

// assignRequestID is a middleware that assigns an ID to the request, starts its first
// span and counts it as in flight. While the entry is draining, it asks the caller to
// close the connection.
func (g *Gateway) assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		g.drain.inFlight.Add(1)
		defer g.drain.inFlight.Add(-1)
		id := uuid.NewString()
		c.Set(requestIDKey, id)
		c.Response().Header().Set(forward.HeaderRequestID, id)
		if g.drain.Draining() {
			c.Response().Header().Set("Connection", "close")
		}
		req := c.Request()
		ctx := remoteSpan(req)
		ctx, span := g.tracer.Start(ctx, "entry", trace.WithAttributes(
			attribute.String("daemon", g.Daemon), attribute.String("request", id), attribute.String("path", c.Path())))
		defer span.End()
		c.SetRequest(req.WithContext(ctx))
		return next(c)
	}
}

// remoteSpan returns the request's context with the caller's trace. It removes the trace
// state, which is free text and could contain a key.
func remoteSpan(req *http.Request) context.Context {
	ctx := propagation.TraceContext{}.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	sc := trace.SpanContextFromContext(ctx).WithTraceState(trace.TraceState{})
	return trace.ContextWithRemoteSpanContext(ctx, sc)
}

// requestID returns the ID that assignRequestID has assigned to the request.
func requestID(c echo.Context) string {
	id, _ := c.Get(requestIDKey).(string)
	return id
}
