// Package admission decides when a request of a client account may go on to an
// upstream, and refuses early what could not be served in time. The decisions
// are in Queue, a plain state machine; Fair runs one Queue for each service.
package admission

import (
	"context"
	"time"
)

// Ticket describes a request to be admitted.
type RequestInfo struct {
	Service  string
	Account  string // empty on open routes
	Weight   float64
	Cost     float64   // estimated, in tokens
	Deadline time.Time // zero for none
	Priority int       // 0 is served first; from BackgroundPriority on it yields to callers
}

// BackgroundPriority is the first priority of work that no caller waits for at a
// screen or a gate: rollouts.
const BackgroundPriority = 8

// Admitter admits requests. Done must be called once with the true cost;
// 0 or less keeps the estimate.
type Admitter interface {
	Admit(ctx context.Context, t RequestInfo) (done func(cost float64), err error)
}
