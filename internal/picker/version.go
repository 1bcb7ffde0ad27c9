package picker

// versionFilter drops upstreams whose weight version is older than the request's
// MinVersion.
type versionFilter struct{}

// Keep implements Filter.
func (versionFilter) Keep(q Request, c Candidate) bool {
	return c.Upstream.Version >= q.MinVersion
}
