package picker

import "time"

// reclaimFilter drops upstreams that will be reclaimed before the deadline of the
// request, or at any time if the request has no deadline.
type reclaimFilter struct{}

// Keep implements Filter.
func (reclaimFilter) Keep(q Request, c Candidate) bool {
	if c.Upstream.ReclaimAt == 0 {
		return true
	}
	return !q.Ends.IsZero() && q.Ends.Before(time.UnixMilli(c.Upstream.ReclaimAt))
}
