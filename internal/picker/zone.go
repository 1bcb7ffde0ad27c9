package picker

// zoneScorer prefers the availability zone of the entry.
type zoneScorer struct{}

// Score implements Scorer.
func (zoneScorer) Score(q Request, c Candidate) float64 {
	if q.Zone == c.Upstream.Zone {
		return 0
	}
	return 1
}
