package picker

// maxSlownessRatio is how many times slower than its peers an upstream may be before
// others are preferred.
const maxSlownessRatio = 2

// slownessPreference prefers upstreams that answer about as fast as their peers.
type slownessPreference struct{}

// Narrow implements Preference.
func (slownessPreference) Narrow(_ Request, cs []Candidate) []Candidate {
	return filterCandidates(cs, func(c Candidate) bool { return c.Slowness <= maxSlownessRatio })
}
