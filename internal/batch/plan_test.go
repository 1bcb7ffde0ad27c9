package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// jobOf returns a job of groups of items, with output hints that grow with the
// item's number.
func jobOf(id string, groups, size int, accepted time.Time) OpenJob {
	b := &state.Batch{ID: id, Service: "s", Model: "m", MinVersion: 3, Accepted: accepted, RunDeadline: 7500 * time.Millisecond, ItemTTL: 12 * time.Second}
	for i := range groups {
		for k := range size {
			b.Items = append(b.Items, state.BatchItem{ID: fmt.Sprintf("%s-%d-%d", id, i, k), Group: fmt.Sprint("g", i), Model: "m", Prompt: fmt.Sprint("p", i), Hint: 10 + k})
		}
	}
	return OpenJob{Batch: b, Listed: map[string]bool{}}
}

func enginesOf(n, slots int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{
			Upstream: upstream.Announcement{ID: fmt.Sprint("e", i), Service: "s"}, Slots: slots,
			Versions: map[string]uint64{"m": 3}, Slowness: 1,
		})
	}
	return out
}

func starts(ss []Start) []string {
	var out []string
	for _, s := range ss {
		out = append(out, s.item.spec.ID)
	}
	return out
}

func perEngine(ss []Start) map[string]int {
	out := map[string]int{}
	for _, s := range ss {
		out[s.Engine.ID]++
	}
	return out
}

func TestWorkIsSpreadOverFreeSlots(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 20, 4, noon)})
	got := p.Next(noon, enginesOf(9, 8))
	g.Expect(got).To(HaveLen(72), "no more than the slots")
	for _, n := range perEngine(got) {
		g.Expect(n).To(Equal(8))
	}
	g.Expect(p.Waiting()).To(Equal(8))
}

// Heavy-tailed lengths: the longest items of a group start first, so that the
// tail of the step begins early.
func TestLongEstimatesStartEarly(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 1, 4, noon)})
	g.Expect(starts(p.Next(noon, enginesOf(1, 2)))).To(Equal([]string{"j-0-3", "j-0-2"}))
}

// Slots are short: a group that lacks one item is whole sooner than one that
// lacks four, and an earlier step is due sooner than a later one.
func TestFewestMissingItemsOfTheEarliestStepFirst(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	later := jobOf("later", 1, 1, noon.Add(4*time.Second))
	j := jobOf("j", 2, 4, noon)
	for k := range 3 {
		j.Listed[fmt.Sprintf("j-1-%d", k)] = true
	}
	p.Update([]OpenJob{later, j})
	got := starts(p.Next(noon, enginesOf(1, 2)))
	g.Expect(got).To(Equal([]string{"j-1-3", "j-0-3"}))
}

// A third of the servers is three times slower: new items go elsewhere while
// there is room, and to them only when nothing else is free.
func TestSlowThirdGetsNewItemsLast(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 15, 4, noon)})
	engines := enginesOf(9, 8)
	for i := range 3 {
		engines[i].Slowness = 3
	}
	got := perEngine(p.Next(noon, engines))
	slow := got["e0"] + got["e1"] + got["e2"]
	g.Expect(slow).To(Equal(60 - 6*8))
}

// A version change under full load: engines whose weights are too old, or that
// load new ones, get nothing; engines ahead of the bound do.
func TestVersionChangeUnderFullLoad(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 20, 4, noon)})
	engines := enginesOf(4, 8)
	engines[0].Versions["m"] = 2
	engines[1].Loading = true
	engines[2].Versions["m"] = 4
	got := perEngine(p.Next(noon, engines))
	g.Expect(got).To(Equal(map[string]int{"e2": 8, "e3": 8}))
}

// A reclaimed zone: nothing starts on upstreams that are about to be taken away.
func TestLeavingUpstreamsGetNothing(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 4, 4, noon)})
	engines := enginesOf(3, 8)
	engines[0].Upstream.ReclaimAt = noon.Add(300 * time.Millisecond).UnixMilli()
	engines[1].Upstream.ReclaimAt = noon.Add(2 * time.Second).UnixMilli()
	got := perEngine(p.Next(noon, engines))
	g.Expect(got).NotTo(HaveKey("e0"))
	g.Expect(got).To(HaveKey("e1"))
}

// A text must not mix versions on a route that wants one: it goes on only where
// the same version is loaded.
func TestSingleVersionGoesOnUnderTheSameVersion(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	j := jobOf("j", 1, 1, noon)
	j.Batch.SingleVersion = true
	p.Update([]OpenJob{j})
	it := p.jobs["j"].items[0]
	it.record(Event{ID: 1, Data: "x", Version: 4})
	engines := enginesOf(2, 8)
	g.Expect(p.Next(noon, engines)).To(BeEmpty())
	engines[1].Versions["m"] = 4
	g.Expect(perEngine(p.Next(noon, engines))).To(Equal(map[string]int{"e1": 1}))
	it.record(Event{ID: 2, Data: "y", Version: 5})
	g.Expect(it.sound()).To(BeFalse())
}

func TestTextWithTooOldVersionIsNotSound(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 1, 1, noon)})
	it := p.jobs["j"].items[0]
	it.record(Event{ID: 1, Version: 3})
	g.Expect(it.sound()).To(BeTrue())
	it.record(Event{ID: 2, Version: 2})
	g.Expect(it.sound()).To(BeFalse())
	it.restart()
	g.Expect(it.sound()).To(BeTrue())
	g.Expect(it.lastID).To(BeZero())
}

func TestEndedJobsAreDropped(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("a", 1, 2, noon), jobOf("b", 1, 2, noon)})
	g.Expect(p.Update([]OpenJob{jobOf("b", 1, 2, noon)})).To(HaveLen(2))
	g.Expect(p.Waiting()).To(Equal(2))
}

// Items are given up only after their lifetime, with a margin for clocks that
// differ between leaders.
func TestItemsExpireAfterTheirLifetime(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 1, 2, noon)})
	g.Expect(p.Expired(noon.Add(12*time.Second + abortMargin - time.Millisecond))).To(BeEmpty())
	late := p.Expired(noon.Add(12*time.Second + abortMargin))
	g.Expect(late).To(HaveLen(2))
	for _, it := range late {
		p.Finish(it)
	}
	g.Expect(p.Expired(noon.Add(time.Minute))).To(BeEmpty())
}

// Token pace tells a slow server: three times the median counts, a single
// engine's pace without others does not.
func TestPaceTellsSlowServers(t *testing.T) {
	g := NewWithT(t)
	p := NewPaces()
	p.Record(noon, "a", 10, 300*time.Millisecond)
	g.Expect(p.At(noon).Slowness("a")).To(Equal(1.0))
	p.Record(noon, "b", 10, 320*time.Millisecond)
	p.Record(noon, "c", 10, 900*time.Millisecond)
	g.Expect(p.At(noon).Slowness("c")).To(BeNumerically(">", moveSlowness))
	g.Expect(p.At(noon).Slowness("b")).To(BeNumerically("<", 1.2))
	g.Expect(p.At(noon.Add(paceMemory+time.Millisecond)).Slowness("c")).To(Equal(1.0), "an old pace says nothing")
}
