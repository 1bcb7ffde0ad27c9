package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSubsetPool is the number of candidates up to which all are used.
	minSubsetPool = 12
	// minSubset is the number of candidates that an idle entry uses.
	minSubset = 3
)

// subsetPreference keeps an entry of a large deployment to a few upstreams, those in its
// availability zone first, as long as it has few requests in flight. Hundreds of entries
// that each use every upstream of a large pool open a connection for nearly each request,
// and send most of them to other zones. Each entry has another subset, so that together
// they use all upstreams alike. It grows with the entry's requests in flight.
type subsetPreference struct{}

// Narrow implements Preference.
func (subsetPreference) Narrow(q Request, cs []Candidate) []Candidate {
	size := minSubset
	for _, c := range cs {
		size += c.InFlight
	}
	if len(cs) <= minSubsetPool || size >= len(cs) || q.Entry == "" {
		return nil
	}
	type ranked struct {
		c    Candidate
		away bool
		hash uint64
	}
	order := make([]ranked, len(cs))
	for i, c := range cs {
		order[i] = ranked{c, c.Upstream.Zone != q.Zone, xxhash.Sum64String(q.Entry + "\x00" + c.Upstream.ID)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.away != b.away {
			if a.away {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	out := make([]Candidate, size)
	for i := range out {
		out[i] = order[i].c
	}
	return out
}
