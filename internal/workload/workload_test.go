package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var noon = time.Unix(1_000_000, 0)

// Guards against a choice of momentaryMaxAge that trusts a slowness which has ended. Of a phase
// of 0.6 s that begins at a random moment, this measures how much of the deviation that was seen
// is left after each age.
func TestAgeAtWhichSlownessIsWorthNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	const phase, period, share, step = 60, 100_000, 0.15, 10 // in units of 10 ms
	rnd := rand.New(rand.NewPCG(1, 2))
	var slow []float64
	for len(slow) < period {
		x := 0.0
		if rnd.Float64() < share {
			x = 1
		}
		for range phase {
			slow = append(slow, x-share)
		}
	}
	for age := 0; age < 2*phase; age += step {
		product, square := 0.0, 0.0
		for i := range period - 2*phase {
			product, square = product+slow[i]*slow[i+age], square+slow[i]*slow[i]
		}
		given := Load{Slowness: 2.5, At: noon}.momentary(noon.Add(time.Duration(age)*10*time.Millisecond), average{}) - 1
		g.Expect(given/1.5).To(gomega.BeNumerically("~", product/square, 0.1), "after %d ms", age*10)
	}
}

// Guards against an account with unusual requests that changes what is expected of others under
// the same route: by more than a tenth for one that has sent requests, or twofold for a new one.
func TestUnusualAccountHarmsOnlyItself(t *testing.T) {
	g := gomega.NewWithT(t)
	expect := func(unusual bool) (old, fresh, own float64) {
		e, rnd := NewEstimator(), rand.New(rand.NewPCG(1, 2))
		for i := range 6000 {
			now := noon.Add(time.Duration(i) * 10 * time.Millisecond)
			e.Observe(now, Key{Service: "s", Route: "r", Account: fmt.Sprint(i % 8)}, 0.1*math.Exp(0.8*rnd.NormFloat64()), 1)
			for range 5 {
				if unusual {
					e.Observe(now, Key{Service: "s", Route: "r", Account: "unusual"}, 10*math.Exp(0.8*rnd.NormFloat64()), 1)
				}
			}
		}
		of := func(account string) float64 {
			return e.Expect(Key{Service: "s", Route: "r", Account: account}).Mean()
		}
		return of("3"), of("new"), of("unusual")
	}
	old, fresh, _ := expect(false)
	oldAfter, freshAfter, own := expect(true)
	t.Logf("known account %.3f s, beside the unusual one %.3f s; new account %.3f s and %.3f s; unusual one %.1f s", old, oldAfter, fresh, freshAfter, own)
	g.Expect(oldAfter).To(gomega.BeNumerically("~", old, 0.1*old))
	g.Expect(freshAfter).To(gomega.BeNumerically("<", 2*fresh))
	g.Expect(own).To(gomega.BeNumerically(">", 8))
}

// Guards against memory without bound, and against forgetting the keys in use.
func TestKeysUsedLongAgoAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	e, kept := NewEstimator(), Key{Service: "s", Route: "r", Account: "kept"}
	for i := range 3 * maxKeys {
		e.Observe(noon, Key{Service: "s", Route: "r", Account: fmt.Sprint(i)}, 0.1, 1)
		e.Observe(noon, kept, 3, 1)
	}
	g.Expect(e.byKey).To(gomega.HaveLen(maxKeys))
	g.Expect(e.recent.Len()).To(gomega.Equal(maxKeys))
	g.Expect(e.Expect(kept).Mean()).To(gomega.BeNumerically(">", 2))
}

// Guards against a request that takes longer than expected counting as nearly done, and against
// a time-out lowering an estimate or teaching one of an upstream that has failed.
func TestLongRequestsHaveWorkLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newEstimate(math.Log(0.1), 1, 0)
	g.Expect(x.Left(0)).To(gomega.Equal(x.Mean()))
	for _, done := range []float64{0.5, 1, 5, 50, 5000} {
		g.Expect(x.Left(done)).To(gomega.BeNumerically(">", 0.3*done/math.Log(done/0.05)), "after %v s", done)
	}
	e, table, key := NewEstimator(), NewTable(), Key{Service: "s"}
	for range 20 {
		e.Observe(noon, key, 1, 1)
	}
	begin := func() *Task {
		return table.Begin("u", 1, e.Expect(key), Task{Key: key, Began: noon, Slowness: 1, Momentary: 1})
	}
	before := e.Expect(key)
	begin().TimeOut(e, 4*time.Second)
	g.Expect(e.Expect(key)).To(gomega.Equal(before), "the upstream has not answered since")
	table.Report(noon.Add(time.Second), "u", 1, Report{Slowness: 1})
	begin().TimeOut(e, time.Second/2)
	g.Expect(e.Expect(key)).To(gomega.Equal(before), "more is expected")
	begin().TimeOut(e, 4*time.Second)
	g.Expect(e.Expect(key).Mean()).To(gomega.BeNumerically(">", before.Mean()))
}

// The lasting speed must be learned apart from the momentary one, whether or not the stated
// slowness includes it, and be forgotten at a new incarnation.
func TestLastingSpeedIsLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, stated := range []float64{1, 1.7} {
		e, table, key := NewEstimator(), NewTable(), Key{Service: "s"}
		for range 30 {
			e.Observe(noon, key, 0.1, 1)
		}
		now := noon
		for i := range 400 {
			phase := 1.0
			if i%10 == 0 {
				phase = 2.5
			}
			table.Report(now, "u", 1, Report{Slowness: stated * phase})
			momentary := table.Get("u", 1).Momentary(now)
			x := table.Begin("u", 1, e.Expect(key), Task{Key: Key{Service: "other"}, Began: now, Slowness: momentary, Momentary: momentary})
			now = now.Add(time.Duration(0.1 * 1.7 * phase * 1e9))
			x.End()
			x.Complete(now, e, now.Sub(x.Began))
		}
		h := table.Get("u", 1)
		g.Expect(math.Exp(h.LogSlowness())*math.Exp(-h.usual.mean)).To(gomega.BeNumerically("~", 1.7/stated, 0.25), "stated %v", stated)
		g.Expect(h.Outstanding(now)).To(gomega.BeNumerically("~", 0, 1e-9))
		table.Report(now, "u", 2, Report{Slowness: 1})
		g.Expect(table.Get("u", 2).LogSlowness()).To(gomega.BeZero())
		g.Expect(table.Get("u", 1)).To(gomega.BeNil())
	}
}
