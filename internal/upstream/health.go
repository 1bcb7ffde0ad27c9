package upstream

import "time"

// Backoff of the ejection of upstreams that cannot be reached.
const (
	initialEjection = 500 * time.Millisecond
	maxEjection     = 8 * time.Second
)

// Health tracks which upstreams one daemon could not reach, so that they are avoided
// before their announcements expire. It is a pure state machine.
type Health struct {
	byID map[string]*failureState
}

// failureState is the state of an upstream whose last request failed.
type failureState struct {
	incarnation  int64
	zone         string
	ejectedUntil time.Time // end of the ejection
	backoff      time.Duration
	probing      bool // whether a probe is in flight
}

// NewHealth returns a Health without ejected upstreams.
func NewHealth() *Health {
	return &Health{byID: map[string]*failureState{}}
}

// RecordFailure ejects a. The duration doubles with each failure in a row, up to
// maxEjection.
func (h *Health) RecordFailure(now time.Time, a Announcement) {
	c := h.byID[a.ID]
	if c == nil || c.incarnation != a.Incarnation {
		c = &failureState{incarnation: a.Incarnation, zone: a.Zone, backoff: initialEjection / 2}
		h.byID[a.ID] = c
	}
	if now.Before(c.ejectedUntil) && !c.probing {
		return // another request that failed for the same reason
	}
	c.probing = false
	c.backoff = min(2*c.backoff, maxEjection)
	c.ejectedUntil = now.Add(c.backoff)
}

// RecordSuccess ends the ejection of a and resets its backoff.
func (h *Health) RecordSuccess(a Announcement) { delete(h.byID, a.ID) }

// BeginProbe records that a request is sent to a. If the ejection of a has ended, the
// request becomes a probe, and a stays ejected for other requests while it runs, for at
// most initialEjection.
func (h *Health) BeginProbe(now time.Time, a Announcement) {
	if c := h.byID[a.ID]; c != nil && c.incarnation == a.Incarnation && !now.Before(c.ejectedUntil) {
		c.ejectedUntil = now.Add(initialEjection)
		c.probing = true
	}
}

// Ejected reports for each upstream in list whether it should be avoided: it is ejected
// itself, or more than half of the upstreams of its zone are. A new incarnation of a
// failed upstream is not avoided.
func (h *Health) Ejected(now time.Time, list []Announcement) []bool {
	out := make([]bool, len(list))
	size, failed := map[string]int{}, map[string]int{}
	for i, a := range list {
		c := h.byID[a.ID]
		out[i] = c != nil && c.incarnation == a.Incarnation && now.Before(c.ejectedUntil)
		size[a.Zone]++
		if out[i] {
			failed[a.Zone]++
		}
	}
	for i, a := range list {
		c := h.byID[a.ID]
		restarted := c != nil && c.incarnation != a.Incarnation
		if 2*failed[a.Zone] > size[a.Zone] && !restarted {
			out[i] = true
		}
	}
	return out
}
