package duty

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Fence names who acts, and proves under which leadership.
type Fence struct {
	Holder string
	Token  uint64
}

// Order instructs an engine to load a version of a model's weights.
type Order struct {
	Model         string
	Version       uint64
	RequestPolicy RequestPolicy
	Expected      uint64 // orders that the engine must have accepted before
}

// Keep says what becomes of running requests when weights change.
type RequestPolicy string

// What becomes of running requests.
const (
	FinishRequests   RequestPolicy = "finish"   // they end under the old version first
	ContinueRequests RequestPolicy = "continue" // they go on under the new version
)

// Report is an engine's state, some hundred milliseconds old.
type Report struct {
	Versions map[string]uint64 // by model
	Busy     bool              // an order is being carried out
	Orders   uint64            // orders accepted since its start
}

// Engines takes orders for engines.
type Engines interface {
	// Order returns nil when the order is accepted or holds already. Codes of
	// errors: OrderConflict when another order runs or Expected differs, Fenced
	// when a newer leader has given orders, UpstreamMoved, UpstreamUnreached when
	// nothing was sent; anything else leaves the outcome unknown.
	Order(ctx context.Context, f Fence, to upstream.Announcement, o Order) (accepted bool, err error)
	Report(ctx context.Context, to upstream.Announcement) (Report, error)
}

// Provider is the platform that bills usage and runs upstreams.
type Provider interface {
	// ReportUsage sends the figures of one interval. Fenced means that a newer
	// leader has reported.
	ReportUsage(ctx context.Context, f Fence, interval uint64, requests map[string]int64) error
	// SetPool orders the number of upstreams of one kind in a zone. OrderConflict
	// means that none are to be had, or that a newer leader has given orders.
	SetPool(ctx context.Context, f Fence, service, zone string, cheap bool, size int) error
}
