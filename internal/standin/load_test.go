package standin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

func TestFairSharesAreMaxMinByWeight(t *testing.T) {
	g := NewWithT(t)
	shares := []flowShare{{weight: 1, demand: 10}, {weight: 1, demand: 100}, {weight: 2, demand: 1000}}
	fairShares(shares, 100)
	g.Expect([]float64{shares[0].fairTokens, shares[1].fairTokens, shares[2].fairTokens}).To(Equal([]float64{10, 30, 60}))
}

func TestLoadReportShowsWorstShareAndWrongResponses(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	flood := newFlowTally(Flow{Account: "flood", Service: "s"}, now, now.Add(time.Hour))
	small := newFlowTally(Flow{Account: "small", Service: "s"}, now, now.Add(time.Hour))
	for range 90 {
		flood.record(now.Add(time.Second), outcome{tokens: 1, elapsed: time.Millisecond})
	}
	for range 10 {
		small.record(now.Add(time.Second), outcome{tokens: 1, wrong: true})
		small.record(now.Add(time.Second), outcome{code: result.Overloaded})
	}
	r := newLoadReport([]*flowTally{flood, small}, time.Second)
	g.Expect(r.Wrong).To(Equal(10))
	g.Expect(r.WorstShare).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(r.Accounts[1].Rejected).To(HaveKeyWithValue(result.Overloaded, 10))
}

func TestFlowMatchesResponsesWithRequests(t *testing.T) {
	g := NewWithT(t)
	f := Flow{Account: "a", Service: "s", Path: "/x", runID: "r"}
	r := Reply{Body: []byte(`{"body":"` + f.marker(3) + `"}`)}
	g.Expect(f.matches(r, 3)).To(BeTrue())
	g.Expect(f.matches(r, 4)).To(BeFalse())
}
