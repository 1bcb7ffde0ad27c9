package routing

import "time"

// Kind says what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"     // may run more than once
	NonIdempotent Kind = "non-idempotent" // runs at most once for each request
	Batch         Kind = "batch"          // takes batch jobs
)

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name          string        `json:"name"`
	Host          string        `json:"host"`
	Prefix        string        `json:"prefix"` // begins and ends with a slash
	Kind          Kind          `json:"kind"`
	Splits        []Split       `json:"splits"`
	Timeout       time.Duration `json:"timeout"`        // nanoseconds a caller may wait; 0: none
	TargetLatency time.Duration `json:"target_latency"` // nanoseconds
	Priority      int           `json:"priority"`       // 0 is the highest
	MaxAttempts   int           `json:"max_attempts"`   // upstreams tried for one request
	Open          bool          `json:"open,omitempty"` // needs no key
	Streaming     bool          `json:"streaming,omitempty"`
	Resumable     bool          `json:"resumable,omitempty"`
	SingleVersion bool          `json:"single_version,omitempty"` // one weight version for each sample
	RunDeadline   time.Duration `json:"run_deadline,omitempty"`   // nanoseconds from submission until results are due
	ItemTTL       time.Duration `json:"item_ttl,omitempty"`       // nanoseconds from submission until items may be given up
}

// Split is one service's share of a route's requests.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent && !r.Streaming || r.Streaming && r.Resumable
}
