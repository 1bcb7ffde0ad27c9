package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// newPool returns upstreams in five zones.
func newPool(n int) []Candidate {
	var cs []Candidate
	for i := range n {
		cs = append(cs, Candidate{Upstream: upstream.Announcement{ID: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%5), Concurrency: 6}})
	}
	return cs
}

// The load of 250 entries that each send a request every few seconds: used connections are
// those to the same upstream again, and the upstreams must be used alike.
func TestIdleEntriesOfALargeDeploymentKeepToFewUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	pairs, perUpstream, away := map[string]bool{}, map[string]int{}, 0
	rnd := rand.New(rand.NewPCG(1, 2))
	const entries, requests, pool = 250, 20, 35
	for e := range entries {
		q := Request{Entry: fmt.Sprint("e", e), Zone: fmt.Sprint("z", e%5), Repeatable: true}
		for range requests {
			u, ok := Default().Choose(rnd, q, newPool(pool))
			g.Expect(ok).To(gomega.BeTrue())
			pairs[q.Entry+u.ID] = true
			perUpstream[u.ID]++
			if u.Zone != q.Zone {
				away++
			}
		}
	}
	g.Expect(len(pairs)).To(gomega.BeNumerically("<=", entries*minSubset))
	g.Expect(away).To(gomega.BeZero())
	for id, n := range perUpstream {
		g.Expect(n).To(gomega.BeNumerically("~", entries*requests/pool, entries*requests/pool*6/10), id)
	}
	g.Expect(perUpstream).To(gomega.HaveLen(pool))
}

// A busy entry uses as many upstreams as it has requests, in the other zones too.
func TestSubsetGrowsWithTheRequestsInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	q := Request{Entry: "e", Zone: "z0", Repeatable: true}
	cs := newPool(35)
	for i := range 20 {
		cs[i].InFlight = 1
	}
	g.Expect(subsetPreference{}.Narrow(q, cs)).To(gomega.HaveLen(23))
	for i := range cs {
		cs[i].InFlight = 1
	}
	g.Expect(subsetPreference{}.Narrow(q, cs)).To(gomega.BeNil(), "all")
	g.Expect(subsetPreference{}.Narrow(q, newPool(minSubsetPool))).To(gomega.BeNil(), "all of a small pool")
}

// When the upstreams of the subset fail or are slow, other ones take their place.
func TestSubsetLeavesOutWhatIsNotHealthy(t *testing.T) {
	g := gomega.NewWithT(t)
	q := Request{Entry: "e", Zone: "z0", Repeatable: true}
	rnd := rand.New(rand.NewPCG(1, 2))
	cs := newPool(35)
	first := subsetPreference{}.Narrow(q, cs)
	for i := range cs {
		for _, c := range first {
			cs[i].Ejected = cs[i].Ejected || cs[i].Upstream.ID == c.Upstream.ID
		}
	}
	for range 50 {
		u, _ := Default().Choose(rnd, q, cs)
		for _, c := range first {
			g.Expect(u.ID).NotTo(gomega.Equal(c.Upstream.ID))
		}
	}
}
