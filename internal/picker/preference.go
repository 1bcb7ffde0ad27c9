package picker

// Preference narrows the choice; one that would leave no candidate is skipped.
// Preferences apply in their order.
type Preference interface {
	Narrow(q Request, cs []Candidate) []Candidate
}

func (p Pipeline) prefer(q Request, cs []Candidate) []Candidate {
	for _, f := range p.Preferences {
		if kept := f.Narrow(q, cs); len(kept) > 0 {
			cs = kept
		}
	}
	return cs
}

func only(cs []Candidate, keep func(Candidate) bool) []Candidate {
	var out []Candidate
	for _, c := range cs {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}
