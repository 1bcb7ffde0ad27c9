package gateway

import "sync/atomic"

// Drain is the state of a graceful shutdown, with the number of requests in flight.
type Drain struct {
	draining atomic.Bool
	inFlight atomic.Int64
}

// Start marks the entry as draining, which removes it from the address list. Requests are
// still served.
func (d *Drain) Start() { d.draining.Store(true) }

// Draining reports whether Start was called.
func (d *Drain) Draining() bool { return d.draining.Load() }

// InFlight returns the number of requests that are being served.
func (d *Drain) InFlight() int { return int(d.inFlight.Load()) }
