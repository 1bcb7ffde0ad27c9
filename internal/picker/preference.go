package picker

import "slices"

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

// filterCandidates returns the candidates for which keep returns true. If these are all, which
// is so in most cases, it returns cs itself.
func filterCandidates(cs []Candidate, keep func(Candidate) bool) []Candidate {
	first := slices.IndexFunc(cs, func(c Candidate) bool { return !keep(c) })
	if first < 0 {
		return cs
	}
	out := append(make([]Candidate, 0, len(cs)-1), cs[:first]...)
	for _, c := range cs[first+1:] {
		if keep(c) {
			out = append(out, c)
		}
	}
	return out
}
