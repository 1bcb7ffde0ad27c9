package picker

// originFilter drops upstreams that must not go on with the request's text.
type originFilter struct{}

// Keep implements Filter.
func (originFilter) Keep(q Request, c Candidate) bool {
	if q.ConfirmsStart {
		return q.Origin.AllowsConfirmed(c.Upstream)
	}
	return q.Origin.Allows(c.Upstream)
}
