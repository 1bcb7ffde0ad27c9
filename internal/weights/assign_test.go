package weights

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

func newEngines(n int) []upstream.Announcement {
	var out []upstream.Announcement
	for i := range n {
		out = append(out, upstream.Announcement{ID: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%3)})
	}
	return out
}

func countByModel(a Assignment) map[string]int {
	out := map[string]int{}
	for _, m := range a {
		out[m]++
	}
	return out
}

// Three trainers use nine engines and publish new versions every four seconds. A store
// that serves two loads at a time, each of which takes a second, completes eight loads in
// that time. If every model is loaded by three engines, nine loads are needed; if by all
// nine engines, 27.
func TestEqualDemandSharesEnginesEvenly(t *testing.T) {
	g := NewWithT(t)
	a := Assign(nil, newEngines(9), map[string]float64{"a": 1, "b": 1, "c": 1})
	g.Expect(countByModel(a)).To(Equal(map[string]int{"a": 3, "b": 3, "c": 3}))
	zones := map[string]bool{}
	for _, e := range newEngines(9) {
		zones[a[e.ID]+e.Zone] = true
	}
	g.Expect(zones).To(HaveLen(9), "the engines of each model are spread over the zones")
}

func TestEnginesAreSharedByDemand(t *testing.T) {
	g := NewWithT(t)
	a := Assign(nil, newEngines(9), map[string]float64{"a": 1, "b": 2, "c": 6})
	g.Expect(countByModel(a)).To(Equal(map[string]int{"a": 2, "b": 2, "c": 5}), "the model with the least demand keeps an engine after the loss of one")
	g.Expect(countByModel(Assign(nil, newEngines(4), map[string]float64{"a": 5}))).To(Equal(map[string]int{"a": 4}))
}

// For random sets of engines, every engine must have a model, every model must have an
// engine if there are enough, and an engine must keep its model unless the model exceeds
// its quota.
func TestAssignmentIsStable(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		demand := map[string]float64{}
		for i := range rapid.IntRange(1, 4).Draw(rt, "models") {
			demand[fmt.Sprint("m", i)] = rapid.Float64Range(0.1, 10).Draw(rt, "demand")
		}
		all := newEngines(rapid.IntRange(1, 40).Draw(rt, "engines"))
		a := Assign(nil, all, demand)
		g.Expect(a).To(HaveLen(len(all)))
		if len(all) >= len(demand) {
			g.Expect(countByModel(a)).To(HaveLen(len(demand)))
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

// After a change of the leader, the engines must keep their models. A new assignment
// would cost a round of loads.
func TestNewLeaderInfersTheAssignmentFromHeldVersions(t *testing.T) {
	g := NewWithT(t)
	all := newEngines(9)
	demand := map[string]float64{"a": 1, "b": 1, "c": 1}
	published := map[string]uint64{"a": 7, "b": 6, "c": 5}
	before := Assign(nil, all, demand)
	held := map[string]map[string]uint64{}
	for _, e := range all {
		held[e.ID] = map[string]uint64{"a": 1, "b": 1, "c": 1}
		m := before[e.ID]
		held[e.ID][m] = published[m]
	}
	held[all[0].ID][before[all[0].ID]]-- // its load is in progress
	inferred := InferAssignment(held, published)
	g.Expect(inferred).To(Equal(before))
	g.Expect(Assign(inferred, all, demand)).To(Equal(before))
	g.Expect(InferAssignment(map[string]map[string]uint64{"x": {"a": 1, "b": 1}}, map[string]uint64{"a": 1, "b": 1})).To(BeEmpty())
}
