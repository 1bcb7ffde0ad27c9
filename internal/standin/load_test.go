package standin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

func TestFairSharesAreMaxMinByWeight(t *testing.T) {
	g := NewWithT(t)
	claims := []share{{weight: 1, demand: 10}, {weight: 1, demand: 100}, {weight: 2, demand: 1000}}
	fairShares(claims, 100)
	g.Expect([]float64{claims[0].fair, claims[1].fair, claims[2].fair}).To(Equal([]float64{10, 30, 60}))
}

func TestWorstServedAccountAndWrongAnswersShow(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	flood := newFlowTally(Flow{Account: "flood", Service: "s"}, now, now.Add(time.Hour))
	small := newFlowTally(Flow{Account: "small", Service: "s"}, now, now.Add(time.Hour))
	for range 90 {
		flood.take(now.Add(time.Second), outcome{tokens: 1, took: time.Millisecond})
	}
	for range 10 {
		small.take(now.Add(time.Second), outcome{tokens: 1, wrong: true})
		small.take(now.Add(time.Second), outcome{code: result.Overloaded})
	}
	r := newLoadReport([]*flowTally{flood, small}, time.Second)
	g.Expect(r.Wrong).To(Equal(10))
	g.Expect(r.WorstShare).To(BeNumerically("~", 0.5, 0.01))
	g.Expect(r.Accounts[1].Rejected).To(HaveKeyWithValue(result.Overloaded, 10))
}

func TestAnswersAreCheckedAgainstTheirRequests(t *testing.T) {
	g := NewWithT(t)
	f := Flow{Account: "a", Service: "s", Path: "/x", run: "r"}
	r := Reply{Body: []byte(`{"body":"` + f.mark(3) + `"}`)}
	g.Expect(f.belongs(r, 3)).To(BeTrue())
	g.Expect(f.belongs(r, 4)).To(BeFalse())
}
