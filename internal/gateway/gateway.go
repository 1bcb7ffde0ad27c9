// Package gateway serves the HTTP interface of a daemon to callers, trainers, upstreams
// and operators. It authenticates and admits requests, passes them to package dispatch
// and writes the responses. Errors carry a numbered result code.
package gateway

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/apricotstream/apricotstream/internal/admission"
	"github.com/apricotstream/apricotstream/internal/claim"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/membudget"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/telemetry"
	"github.com/apricotstream/apricotstream/internal/upstream"
	"github.com/apricotstream/apricotstream/internal/usage"
)

// Members lists the daemons that are up.
type Members interface {
	Live() []member.Daemon
}

// Dependencies are the components that the gateway uses.
type Dependencies struct {
	Log        *log.Logger
	Daemon     string // ID of this daemon
	Zone       string
	AddressTTL time.Duration // lifetime of the list of entries at callers
	View       control.View
	Control    control.Log
	Members    Members
	Directory  *upstream.Directory
	Dispatcher *dispatch.Dispatcher
	Admission  admission.Admitter
	Claims     *claim.Runner
	Quarantine *quarantine.Table
	Rollouts   *rollout.Manager
	Usage      *usage.Counter
	Tracing    *telemetry.Tracing
	Buffers    *membudget.Budget // for bodies and answers; nil: no bound
}

// Gateway serves the HTTP interface of a daemon.
type Gateway struct {
	Dependencies
	sessions *Sessions
	tracer   trace.Tracer
	drain    Drain
	buffers  buffers
}

// New returns a gateway with the given dependencies.
func New(deps Dependencies) *Gateway {
	return &Gateway{Dependencies: deps, sessions: NewSessions(deps.View), tracer: deps.Tracing.Tracer, buffers: newBuffers(deps.Buffers)}
}

// Sessions returns the requests in flight that were authenticated with a key.
func (g *Gateway) Sessions() *Sessions { return g.sessions }

// Drain returns the state of the graceful shutdown.
func (g *Gateway) Drain() *Drain { return &g.drain }

// Handler returns the HTTP handler for all endpoints.
func (g *Gateway) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = g.writeError
	e.Use(g.assignRequestID, g.holdMemory)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/metrics", metricsHandler)
	e.GET("/v1/entries", g.entries)
	e.Any("/services/:service/*", g.serve)
	e.POST("/v1/services/:service/steps", g.openStep)
	e.GET("/v1/steps/:id/samples", g.readSamples)
	e.POST("/v1/services/:service/weights", g.publishWeights)
	e.POST("/upstream/v1/announce", g.announce)
	g.evacuationRoutes(e)
	g.adminRoutes(e.Group("/admin/v1", g.requireOperator))
	return e
}
