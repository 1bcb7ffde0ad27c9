package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// newCandidates returns n candidates, each changed by change.
func newCandidates(n int, change func(i int, c *Candidate)) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i].Upstream = upstream.Announcement{ID: fmt.Sprint("u", i), Class: upstream.ClassRegular, Concurrency: 8, Zone: "a"}
		change(i, &cs[i])
	}
	return cs
}

// chosenIDs returns the ids of the upstreams that are chosen at least once in 200
// choices.
func chosenIDs(q Request, cs []Candidate) map[string]bool {
	rnd := rand.New(rand.NewPCG(1, 2))
	out := map[string]bool{}
	for range 200 {
		if u, ok := Default().Choose(rnd, q, cs); ok {
			out[u.ID] = true
		}
	}
	return out
}

func TestEjectedUpstreamsAreUsedOnlyAsLastResort(t *testing.T) {
	g := gomega.NewWithT(t)
	cs := newCandidates(3, func(i int, c *Candidate) { c.Ejected = i < 2 })
	g.Expect(chosenIDs(Request{}, cs)).To(gomega.Equal(map[string]bool{"u2": true}))
	cs[2].Ejected = true
	g.Expect(chosenIDs(Request{}, cs)).To(gomega.HaveLen(3))
}

func TestCheapUpstreamsRunOnlyRepeatableRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	cs := newCandidates(4, func(i int, c *Candidate) {
		if i < 2 {
			c.Upstream.Class = upstream.ClassCheap
		}
	})
	g.Expect(chosenIDs(Request{Repeatable: true}, cs)).To(gomega.Equal(map[string]bool{"u0": true, "u1": true}))
	g.Expect(chosenIDs(Request{}, cs)).To(gomega.Equal(map[string]bool{"u2": true, "u3": true}))
	cs[0].InFlight, cs[1].InFlight = 8, 8
	g.Expect(chosenIDs(Request{Repeatable: true}, cs)).To(gomega.HaveLen(4), "full cheap upstreams are not preferred")
}

func TestReclaimFilterDropsUpstreamsReclaimedBeforeTheDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	cs := newCandidates(2, func(i int, c *Candidate) {
		if i == 0 {
			c.Upstream.ReclaimAt = now.Add(3 * time.Second).UnixMilli()
		}
	})
	g.Expect(chosenIDs(Request{Ends: now.Add(2 * time.Second)}, cs)).To(gomega.HaveLen(2))
	g.Expect(chosenIDs(Request{Ends: now.Add(4 * time.Second)}, cs)).To(gomega.Equal(map[string]bool{"u1": true}))
	g.Expect(chosenIDs(Request{}, cs)).To(gomega.Equal(map[string]bool{"u1": true}), "request without a deadline")
}

func TestPrefixAffinityMovesOnWhenTheUpstreamIsLoaded(t *testing.T) {
	g := gomega.NewWithT(t)
	cs := newCandidates(9, func(int, *Candidate) {})
	home := chosenIDs(Request{Prefix: "puzzle"}, cs)
	g.Expect(home).To(gomega.HaveLen(1))
	for i := range cs {
		if home[cs[i].Upstream.ID] {
			cs[i].InFlight = 8
		}
	}
	next := chosenIDs(Request{Prefix: "puzzle"}, cs)
	g.Expect(next).To(gomega.HaveLen(1))
	g.Expect(next).NotTo(gomega.Equal(home))
}

// Reports lag, so the requests that this entry has in flight must count more.
func TestOwnRequestsOutweighReportedLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	cs := newCandidates(2, func(i int, c *Candidate) {
		c.InFlight = 2 * i
		c.Upstream.Running = 8 - 8*i
	})
	g.Expect(chosenIDs(Request{}, cs)).To(gomega.Equal(map[string]bool{"u0": true}))
}
