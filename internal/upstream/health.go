package upstream

import "time"

// Ejection of upstreams that cannot be reached.
const (
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
)

// Health is what one entry learns of upstreams from its own connections, ahead
// of the end of their announcements. It is a plain state machine.
type Health struct {
	byID map[string]*condition
}

// condition of an upstream that failed last time it was tried.
type condition struct {
	incarnation int64
	zone        string
	until       time.Time // ejected
	backoff     time.Duration
	trying      bool // one request finds out whether it is back
}

// NewHealth returns a Health that trusts every upstream.
func NewHealth() *Health {
	return &Health{byID: map[string]*condition{}}
}

// Failed ejects a, for twice as long each time in a row.
func (h *Health) RecordFailure(now time.Time, a Announcement) {
	c := h.byID[a.ID]
	if c == nil || c.incarnation != a.Incarnation {
		c = &condition{incarnation: a.Incarnation, zone: a.Zone, backoff: firstEjection / 2}
		h.byID[a.ID] = c
	}
	if now.Before(c.until) && !c.trying {
		return // another request of the same failure
	}
	c.trying = false
	c.backoff = min(2*c.backoff, maxEjection)
	c.until = now.Add(c.backoff)
}

// Reached trusts a again.
func (h *Health) RecordSuccess(a Announcement) { delete(h.byID, a.ID) }

// Try reserves the first request to a after its ejection; no other request tries
// it meanwhile.
func (h *Health) BeginProbe(now time.Time, a Announcement) {
	if c := h.byID[a.ID]; c != nil && c.incarnation == a.Incarnation && !now.Before(c.until) {
		c.until = now.Add(firstEjection)
		c.trying = true
	}
}

// Ejected reports for every one of the list whether it should be avoided: itself
// failed, or most of its zone did. A new incarnation is trusted at once.
func (h *Health) Ejected(now time.Time, list []Announcement) []bool {
	out := make([]bool, len(list))
	size, failed := map[string]int{}, map[string]int{}
	for i, a := range list {
		c := h.byID[a.ID]
		out[i] = c != nil && c.incarnation == a.Incarnation && now.Before(c.until)
		size[a.Zone]++
		if out[i] {
			failed[a.Zone]++
		}
	}
	for i, a := range list {
		c := h.byID[a.ID]
		renewed := c != nil && c.incarnation != a.Incarnation
		if 2*failed[a.Zone] > size[a.Zone] && !renewed {
			out[i] = true
		}
	}
	return out
}
