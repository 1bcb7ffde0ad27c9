package limit

import (
	"slices"
	"time"
)

// Grantor divides limits into leases. Only the leader has one, a new one for each term.
type Grantor struct {
	readyAt     time.Time // when the leases of earlier leaders have ended
	term        uint64
	issued      uint64                         // leases granted in this term
	sharesByKey map[Key]map[string]*quotaShare // by key and holder
}

// quotaShare is the share of a limit that one holder has.
type quotaShare struct {
	want        float64 // see Request.Want
	requestedAt time.Time
	leases      []grantedLease // those that the holder may still use
}

type grantedLease struct {
	number uint64
	rate   float64
	until  time.Time
}

// NewGrantor returns the Grantor of a leader whose term begins now.
func NewGrantor(now time.Time, term uint64) *Grantor {
	return &Grantor{readyAt: now.Add(extendForDrift(LeaseDuration)), term: term, sharesByKey: map[Key]map[string]*quotaShare{}}
}

// termBits is the number of low bits of a lease number that count the leases of one term;
// the term is in the bits above.
const termBits = 40

// Request grants holder a lease on its share of limit from now on. It returns false while
// leases of an earlier leader may still be in use.
func (g *Grantor) Request(now time.Time, holder string, q Request, limit float64) (Lease, bool) {
	if now.Before(g.readyAt) {
		return Lease{}, false
	}
	shares := g.sharesByKey[q.Key]
	if shares == nil {
		shares = map[string]*quotaShare{}
		g.sharesByKey[q.Key] = shares
	}
	s := shares[holder]
	if s == nil {
		s = &quotaShare{}
		shares[holder] = s
	}
	s.want = q.Want
	s.requestedAt = now
	s.leases = slices.DeleteFunc(s.leases, func(x grantedLease) bool { return x.number < q.Held })
	free := limit - grantedToOthers(now, shares, holder)
	rate := max(0, min(targetRate(shares, s, limit), free))
	g.issued++
	x := grantedLease{number: g.term<<termBits | g.issued, rate: rate, until: now.Add(LeaseDuration)}
	s.leases = append(s.leases, x)
	return Lease{Key: q.Key, Number: x.number, Rate: rate}, true
}

// grantedToOthers returns the total rate that other holders may still use. It removes
// holders whose leases have ended and that have sent no request for LeaseDuration.
func grantedToOthers(now time.Time, shares map[string]*quotaShare, holder string) float64 {
	sum := 0.0
	for id, s := range shares {
		if id == holder {
			continue
		}
		s.leases = slices.DeleteFunc(s.leases, func(x grantedLease) bool { return now.After(x.until) })
		if len(s.leases) == 0 && now.Sub(s.requestedAt) > LeaseDuration {
			delete(shares, id)
			continue
		}
		sum += s.maxRate()
	}
	return sum
}

// maxRate returns the largest rate that the holder may be using.
func (s *quotaShare) maxRate() float64 {
	rate := 0.0
	for _, x := range s.leases {
		rate = max(rate, x.rate)
	}
	return rate
}

// targetRate returns the rate that the holder of s should get. If the demands of all
// holders fit into the limit, it is the holder's demand plus an equal part of what is
// left, so that an entry without requests can admit its first ones at once. If they do
// not fit, the demands are scaled down.
func targetRate(shares map[string]*quotaShare, s *quotaShare, limit float64) float64 {
	demand := 0.0
	for _, o := range shares {
		demand += min(o.want, limit)
	}
	want := min(s.want, limit)
	if demand > limit {
		// A tenth of the limit is split evenly, so that holders without demand get some.
		even := limit / 10 / float64(len(shares))
		return even + want/demand*limit*0.9
	}
	return want + (limit-demand)/float64(len(shares))
}
