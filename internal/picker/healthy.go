package picker

// healthyPreference prefers upstreams that are not ejected. If all are ejected, the
// ejections may be wrong, so all remain candidates.
type healthyPreference struct{}

// Narrow implements Preference.
func (healthyPreference) Narrow(_ Request, cs []Candidate) []Candidate {
	return filterCandidates(cs, func(c Candidate) bool { return !c.Ejected })
}
