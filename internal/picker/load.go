package picker

// reportedLoadWeight is the weight of a request that an upstream reports, relative to a
// request of this entry. Reports lag by more than the duration of most requests. They
// show which upstreams are slow or crowded, but if they had more weight, all entries
// would choose the same upstream.
const reportedLoadWeight = 0.1

// loadScorer rates a candidate by the requests that this entry has in flight there and,
// with a low weight, by the load that the upstream reports.
type loadScorer struct{}

// Score implements Scorer.
func (loadScorer) Score(_ Request, c Candidate) float64 {
	busy := float64(c.InFlight) + reportedLoadWeight*float64(c.reportedLoad())
	return busy / float64(max(c.Upstream.Concurrency, 1))
}

// reportedLoad returns the number of running and waiting requests that the upstream
// reports.
func (c Candidate) reportedLoad() int { return c.Upstream.Running + c.Upstream.Waiting }

// utilization returns the share of the concurrency slots in use, as far as this entry can
// tell. It exceeds 1 if requests wait.
func (c Candidate) utilization() float64 {
	return float64(max(c.reportedLoad(), c.InFlight)) / float64(max(c.Upstream.Concurrency, 1))
}
