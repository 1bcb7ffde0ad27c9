package picker

import "slices"

// excludedFilter drops the upstreams in the request's Exclude list, such as those to
// which earlier attempts were sent.
type excludedFilter struct{}

// Keep implements Filter.
func (excludedFilter) Keep(q Request, c Candidate) bool {
	return !slices.Contains(q.Exclude, c.Upstream.ID)
}
