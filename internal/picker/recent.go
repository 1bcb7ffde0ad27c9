package picker

// recentPreference prefers upstreams whose announcements have not expired. The others
// remain a last resort, because they may be partitioned from the daemons that receive
// announcements and still serve requests.
type recentPreference struct{}

// Narrow implements Preference.
func (recentPreference) Narrow(_ Request, cs []Candidate) []Candidate {
	return filterCandidates(cs, func(c Candidate) bool { return !c.Upstream.Silent })
}
