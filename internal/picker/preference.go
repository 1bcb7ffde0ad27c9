package picker

// Preference narrows the candidates to those that it prefers. A preference that would
// leave no candidate is skipped. Preferences are applied in order.
type Preference interface {
	Narrow(q Request, cs []Candidate) []Candidate
}

func (p Pipeline) applyPreferences(q Request, cs []Candidate) []Candidate {
	for _, f := range p.Preferences {
		if kept := f.Narrow(q, cs); len(kept) > 0 {
			cs = kept
		}
	}
	return cs
}

// filterCandidates returns the candidates for which keep returns true.
func filterCandidates(cs []Candidate, keep func(Candidate) bool) []Candidate {
	var out []Candidate
	for _, c := range cs {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}
