package duty

import (
	"context"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Fence identifies the leader that sends an order or a report. Token is its fencing token:
// the term in which it leads.
type Fence struct {
	Holder string
	Token  uint64
}

// Order instructs an engine to load a weight version of a model.
type Order struct {
	Model         string
	Version       uint64
	RequestPolicy RequestPolicy
	Expected      uint64 // number of orders that the engine must have accepted before
}

// RequestPolicy determines what an engine does with running requests when it loads
// weights.
type RequestPolicy string

// Policies for running requests.
const (
	FinishRequests   RequestPolicy = "finish"   // requests finish under the old version before the load
	ContinueRequests RequestPolicy = "continue" // requests continue under the new version
)

// Report is an engine's state. It may be some hundred milliseconds old.
type Report struct {
	Versions map[string]uint64 // by model
	Busy     bool              // the engine is carrying out an order
	Orders   uint64            // number of orders accepted since the engine started
}

// Engines sends orders to engines and reads their state.
type Engines interface {
	// Order sends an order. accepted is false with a nil error when the engine holds
	// the version already. The codes of errors are OrderConflict when another order is
	// being carried out or Expected differs, Fenced when a newer leader has sent orders,
	// UpstreamMoved, and UpstreamUnreached when nothing was sent. After any other error
	// the outcome is unknown.
	Order(ctx context.Context, f Fence, to upstream.Announcement, o Order) (accepted bool, err error)
	// Report reads the state of an engine.
	Report(ctx context.Context, to upstream.Announcement) (Report, error)
}

// Provider is the platform that bills usage and runs the upstreams.
type Provider interface {
	// ReportUsage sends the number of requests of each client account in one usage
	// interval. It returns OrderConflict when the provider rejects the report because a
	// newer leader has reported.
	ReportUsage(ctx context.Context, f Fence, interval uint64, requests map[string]int64) error
	// SetPool orders the number of upstreams of one class in a zone. It returns
	// OrderConflict when none are available or a newer leader has sent orders.
	SetPool(ctx context.Context, f Fence, service, zone string, cheap bool, size int) error
}
