package picker

// originFilter drops upstreams that must not go on with the request's text.
type originFilter struct{}

// Keep implements Filter.
func (originFilter) Keep(q Request, c Candidate) bool { return q.Origin.Allows(c.Upstream) }
