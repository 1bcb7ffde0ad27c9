package picker

import "github.com/apricotstream/apricotstream/internal/upstream"

// classPreference prefers cheap upstreams with free slots for repeatable requests, and
// regular upstreams for all others.
type classPreference struct{}

// Narrow implements Preference.
func (classPreference) Narrow(q Request, cs []Candidate) []Candidate {
	return filterCandidates(cs, func(c Candidate) bool {
		cheap := c.Upstream.Class == upstream.ClassCheap
		if !q.Repeatable {
			return !cheap
		}
		return cheap && c.utilization() < 1
	})
}
