// Package admission decides when a request of a client account may be sent to an
// upstream. It rejects early the requests that could not be served in time. Queue makes
// the decisions as a pure state machine; FairAdmitter runs one Queue for each service.
// Every entry, a daemon that takes requests from callers, admits its own requests.
package admission

import (
	"context"
	"time"
)

// RequestInfo describes a request to be admitted.
type RequestInfo struct {
	Service  string
	Account  string    // empty on routes that need no key
	Weight   float64   // of the account; 0 or less counts as 1
	Cost     float64   // estimated, in tokens
	Deadline time.Time // zero for none
	Priority int       // 0 is served first; BackgroundPriority and above is background work
}

// BackgroundPriority is the lowest Priority value of background work. Background work is
// work for which no caller waits: rollouts.
const BackgroundPriority = 8

// Admitter admits requests. Admit returns when the request is admitted or rejected. When
// an admitted request has ended, the caller must call done once with the actual cost in
// tokens; 0 or less keeps the estimate.
type Admitter interface {
	Admit(ctx context.Context, info RequestInfo) (done func(cost float64), err error)
}
