package picker

// maxSlowness is how much slower than its peers an upstream may be before others
// are preferred.
const maxSlowness = 2

// brisk prefers upstreams that answer about as fast as their peers.
type brisk struct{}

// Narrow implements Preference.
func (brisk) Narrow(_ Request, cs []Candidate) []Candidate {
	return only(cs, func(c Candidate) bool { return c.Slowness <= maxSlowness })
}
