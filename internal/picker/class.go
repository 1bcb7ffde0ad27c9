package picker

import "github.com/apricotstream/apricotstream/internal/upstream"

// class prefers cheap upstreams with free slots for repeatable work,
// and all other work to regular ones.
type class struct{}

// Narrow implements Preference.
func (class) Narrow(q Request, cs []Candidate) []Candidate {
	return only(cs, func(c Candidate) bool {
		cheap := c.Upstream.Class == upstream.ClassCheap
		if !q.Repeatable {
			return !cheap
		}
		return cheap && c.fullness() < 1
	})
}
