package picker

// recent prefers upstreams whose announcements have not expired. A silent one may
// merely be partitioned from the daemons that receive announcements.
type recent struct{}

// Narrow implements Preference.
func (recent) Narrow(_ Request, cs []Candidate) []Candidate {
	return only(cs, func(c Candidate) bool { return !c.Upstream.Silent })
}
