package weights

import "github.com/apricotstream/apricotstream/internal/upstream"

// weightSource is an upstream that can serve the version to others.
type weightSource struct {
	address     string
	zone        string
	freeStreams int // further loads that it can serve
}

// sources holds the upstreams and the store streams from which a version can be loaded
// now.
type sources struct {
	upstreams    []weightSource
	storeStreams int // further loads that the store can serve
}

func (p *Planner) sources(live []upstream.Announcement, want uint64) *sources {
	used := map[string]int{}
	for _, l := range p.loads {
		used[l.source]++
	}
	s := &sources{storeStreams: p.limits.StoreStreams - used[""]}
	for _, u := range live {
		if u.Version == want && u.SharesWeights {
			s.upstreams = append(s.upstreams, weightSource{u.Address, u.Zone, p.limits.Fanout - used[u.Address]})
		}
	}
	return s
}

// pick reserves one load from a source and returns its address, which is empty for the
// store. It prefers an upstream in the zone, then another upstream, then the store. The
// source of the last failure is skipped, except the store, which may be the only source.
// It returns false if no source has a free stream.
func (s *sources) pick(zone, failed string) (string, bool) {
	other := -1
	for i, h := range s.upstreams {
		if h.freeStreams <= 0 || h.address == failed {
			continue
		}
		if h.zone == zone {
			s.upstreams[i].freeStreams--
			return h.address, true
		}
		other = i
	}
	if other >= 0 {
		s.upstreams[other].freeStreams--
		return s.upstreams[other].address, true
	}
	if s.storeStreams <= 0 {
		return "", false
	}
	s.storeStreams--
	return "", true
}
