package capacity

import "time"

// Delays that damp flapping.
const (
	// missingGracePeriod is how long a running upstream may be without a live
	// announcement before it is considered lost.
	missingGracePeriod = 5 * time.Second
	// idleReleaseDelay is how long a service must have too many upstreams before one is
	// released.
	idleReleaseDelay = 2 * time.Minute
)

// Tracker records, for the term of one leader, since when conditions that are not in the
// control log hold. It must not be used by more than one goroutine at a time.
type Tracker struct {
	missing map[string]time.Time // since when upstreams are missing, by order id
	idle    map[string]time.Time // since when services have too many upstreams, by service
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{missing: map[string]time.Time{}, idle: map[string]time.Time{}}
}

// conditionDuration records whether the condition named key holds at now, and returns for
// how long it has held.
func conditionDuration(since map[string]time.Time, key string, now time.Time, holds bool) time.Duration {
	if !holds {
		delete(since, key)
		return 0
	}
	at, ok := since[key]
	if !ok {
		since[key] = now
		return 0
	}
	return now.Sub(at)
}
