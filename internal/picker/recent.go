package picker

// recent prefers upstreams whose announcements still hold. One that has gone
// silent may only be cut off from the daemons that take announcements.
type recent struct{}

// Narrow implements Preference.
func (recent) Narrow(_ Request, cs []Candidate) []Candidate {
	return only(cs, func(c Candidate) bool { return !c.Upstream.Silent })
}
