package weights

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

func engines(n int) []upstream.Announcement {
	var out []upstream.Announcement
	for i := range n {
		out = append(out, upstream.Announcement{ID: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return out
}

func counts(a Assignment) map[string]int {
	out := map[string]int{}
	for _, m := range a {
		out[m]++
	}
	return out
}

// Three trainers on nine engines, new versions every four seconds: a store that
// feeds two loads of a second at once can bring three engines of each model to
// each version, not nine.
func TestSeveralTrainersOnTheSameServers(t *testing.T) {
	g := NewWithT(t)
	a := Assign(nil, engines(9), map[string]float64{"a": 1, "b": 1, "c": 1})
	g.Expect(counts(a)).To(Equal(map[string]int{"a": 3, "b": 3, "c": 3}))
	zones := map[string]bool{}
	for _, e := range engines(9) {
		zones[a[e.ID]+e.Zone] = true
	}
	g.Expect(zones).To(HaveLen(9), "each model's engines are spread over the zones")
}

func TestDemandDecidesTheShares(t *testing.T) {
	g := NewWithT(t)
	a := Assign(nil, engines(9), map[string]float64{"a": 1, "b": 2, "c": 6})
	g.Expect(counts(a)).To(Equal(map[string]int{"a": 2, "b": 2, "c": 5}), "even the least asked model survives the loss of an engine")
	g.Expect(counts(Assign(nil, engines(4), map[string]float64{"a": 5}))).To(Equal(map[string]int{"a": 4}))
}

// Whatever engines come and go: every engine has a model, none is without one
// while engines suffice, and an engine keeps its model where shares allow it.
func TestAssignmentIsStable(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		demand := map[string]float64{}
		for i := range rapid.IntRange(1, 4).Draw(rt, "models") {
			demand[fmt.Sprint("m", i)] = rapid.Float64Range(0.1, 10).Draw(rt, "demand")
		}
		all := engines(rapid.IntRange(1, 40).Draw(rt, "engines"))
		a := Assign(nil, all, demand)
		g.Expect(a).To(HaveLen(len(all)))
		if len(all) >= len(demand) {
			g.Expect(counts(a)).To(HaveLen(len(demand)))
		}
		g.Expect(Assign(a, all, demand)).To(Equal(a))
		fewer := all[:max(1, len(all)-1)]
		b := Assign(a, fewer, demand)
		moved := 0
		for _, e := range fewer {
			if a[e.ID] != b[e.ID] {
				moved++
			}
		}
		g.Expect(moved).To(BeNumerically("<=", len(demand)))
	})
}

// After a change of the leader the engines go on with the models that they have
// followed: dividing them anew would cost a round of loads.
func TestNewLeaderInfersTheAssignment(t *testing.T) {
	g := NewWithT(t)
	all := engines(9)
	demand := map[string]float64{"a": 1, "b": 1, "c": 1}
	published := map[string]uint64{"a": 7, "b": 6, "c": 5}
	before := Assign(nil, all, demand)
	held := map[string]map[string]uint64{}
	for _, e := range all {
		held[e.ID] = map[string]uint64{"a": 1, "b": 1, "c": 1}
		m := before[e.ID]
		held[e.ID][m] = published[m]
	}
	held[all[0].ID][before[all[0].ID]]-- // its load is under way
	inferred := InferAssignment(held, published)
	g.Expect(inferred).To(Equal(before))
	g.Expect(Assign(inferred, all, demand)).To(Equal(before))
	g.Expect(InferAssignment(map[string]map[string]uint64{"x": {"a": 1, "b": 1}}, map[string]uint64{"a": 1, "b": 1})).To(BeEmpty())
}
