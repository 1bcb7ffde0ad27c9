package picker

// maxSlownessRatio is how many times slower than its peers an upstream may be before
// others are preferred.
const maxSlownessRatio = 2

// slownessPreference prefers upstreams that answer about as fast as their peers. It is passed
// over when the workloads are known: their slowness is learned relative to the work of the
// requests, while a mean of response times also rises with requests that need much work.
type slownessPreference struct{}

// Narrow implements Preference.
func (slownessPreference) Narrow(_ Request, cs []Candidate) []Candidate {
	if weighsWork(cs) {
		return nil
	}
	return filterCandidates(cs, func(c Candidate) bool { return c.Slowness <= maxSlownessRatio })
}
