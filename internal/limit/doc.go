// Package limit enforces the rate limits of client accounts over all entries, the daemons
// that take requests from callers. The leader leases each account's limit to the entries
// in quota shares whose sum never exceeds the limit. An entry treats its share as a token
// bucket and consumes from it without a call to the leader. It stops when its lease ends.
// The leases are not persisted: a new leader waits until the leases of earlier leaders
// have ended before it grants any. Grantor and Holder are pure state machines.
package limit

import "time"

// Timing of leases.
const (
	// LeaseDuration is how long a share may be used, on the grantor's clock.
	LeaseDuration = 3 * time.Second
	// requestInterval is the time between two lease requests of a holder.
	requestInterval = 500 * time.Millisecond
	// maxDrift is the largest relative error of a clock's rate.
	maxDrift = 0.01
	// burstDuration is the time for which a holder may accumulate unused tokens.
	burstDuration = time.Second
)

// Key identifies the limit of an account at a service.
type Key struct {
	Service string `json:"service"`
	Account string `json:"account"`
}

// shortenForDrift and extendForDrift adjust a duration for two clocks that drift in
// opposite directions.
func shortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - 2*maxDrift))
}

func extendForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*maxDrift))
}
