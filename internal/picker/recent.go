package picker

// recentPreference prefers upstreams whose announcements have not expired. An upstream
// with an expired announcement may only be partitioned from the daemons that receive
// announcements.
type recentPreference struct{}

// Narrow implements Preference.
func (recentPreference) Narrow(_ Request, cs []Candidate) []Candidate {
	return filterCandidates(cs, func(c Candidate) bool { return !c.Upstream.Silent })
}
