package batch

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

func eventsFrom(first, n int, version uint64) []Event {
	var out []Event
	for i := range n {
		out = append(out, Event{ID: first + i, Data: fmt.Sprint("d", first+i), Version: version})
	}
	return out
}

// The leader dies while a long item runs: the next one goes on from the last
// event that was saved.
func TestNextLeaderGoesOnFromTheSavedText(t *testing.T) {
	g := NewWithT(t)
	p := NewPlan()
	p.Update([]OpenJob{jobOf("j", 1, 1, noon)})
	it := p.jobs["j"].items[0]
	g.Expect(it.unsaved(eventsFrom(1, saveEvery-1, 3))).To(BeNil(), "a short text is not worth a commit")
	first := it.unsaved(eventsFrom(1, saveEvery, 3))
	g.Expect(first.After).To(BeZero())
	g.Expect(first.Events).To(HaveLen(saveEvery))
	g.Expect(it.unsaved(eventsFrom(1, saveEvery+1, 3))).To(BeNil(), "nor are a few more events")

	next := NewPlan()
	job := jobOf("j", 1, 1, noon)
	job.Partial = map[string]state.Partial{"j-0-0": first.Partial}
	next.Update([]OpenJob{job})
	resumed := next.jobs["j"].items[0]
	g.Expect(resumed.lastID).To(Equal(saveEvery))
	resumed.record(Event{ID: saveEvery + 1, Data: "more", Version: 4})
	g.Expect(resumed.versions).To(Equal([]uint64{3, 4}))
}

func TestSavedTextOfTooOldVersionsIsDropped(t *testing.T) {
	g := NewWithT(t)
	job := jobOf("j", 1, 1, noon)
	job.Partial = map[string]state.Partial{"j-0-0": {Events: []string{"x"}, LastID: 1, Versions: []uint64{2}}}
	p := NewPlan()
	p.Update([]OpenJob{job})
	g.Expect(p.jobs["j"].items[0].lastID).To(BeZero())
	g.Expect(p.jobs["j"].items[0].events).To(BeEmpty())
}

// Whatever runs, fails, restarts and is saved: what the replicas hold is always a
// beginning of one text, with each event once and in order.
func TestSavedTextIsABeginningOfOneText(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := state.New()
		job := jobOf("j", 1, 1, noon)
		job.Batch.Retention = 1 << 40
		s.Apply(state.Command{At: noon, BatchAccept: &state.BatchAccept{Batch: *job.Batch}})
		p := NewPlan()
		p.Update([]OpenJob{job})
		it := p.jobs["j"].items[0]
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				it.restart()
			}
			running := eventsFrom(it.lastID+1, rapid.IntRange(0, 60).Draw(rt, "events"), 3)
			if b := it.unsaved(running); b != nil && rapid.Bool().Draw(rt, "committed") {
				s.Apply(state.Command{At: noon, BatchRecord: &state.BatchRecord{Progress: []state.BatchProgress{*b}}})
			}
			for _, e := range running {
				it.record(e)
			}
			held := s.Ledger.Batches["j"].Partial["j-0-0"]
			if held == nil {
				continue
			}
			g.Expect(held.LastID).To(Equal(len(held.Events)))
			for i, d := range held.Events {
				g.Expect(d).To(Equal(fmt.Sprint("d", i+1)))
			}
		}
	})
}
