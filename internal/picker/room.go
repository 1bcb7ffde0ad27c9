package picker

// roomFilter drops upstreams whose concurrency slots this entry has filled, for requests
// that can wait. In the queue of an upstream they would delay the requests of callers.
type roomFilter struct{}

// Keep implements Filter.
func (roomFilter) Keep(q Request, c Candidate) bool {
	return !q.LeaveRoom || c.InFlight < max(c.Upstream.Concurrency, 1)
}
