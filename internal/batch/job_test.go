package batch

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

func testEvents(first, n int, version uint64) []Event {
	var out []Event
	for i := range n {
		out = append(out, Event{ID: first + i, Data: fmt.Sprint("d", first+i), Version: version})
	}
	return out
}

// When the leader crashes while a long item runs, the next leader resumes from the last
// committed event.
func TestNextLeaderResumesFromCommittedProgress(t *testing.T) {
	g := NewWithT(t)
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{testJob("j", 1, 1, noon)})
	it := scheduler.jobs["j"].items[0]
	g.Expect(it.takeProgress(testEvents(1, minProgressEvents-1, 3))).To(BeNil(), "too few events for a commit")
	first := it.takeProgress(testEvents(1, minProgressEvents, 3))
	g.Expect(first.After).To(BeZero())
	g.Expect(first.Events).To(HaveLen(minProgressEvents))
	g.Expect(it.takeProgress(testEvents(1, minProgressEvents+1, 3))).To(BeNil(), "too few events since the last commit")

	next := NewScheduler()
	job := testJob("j", 1, 1, noon)
	job.Partial = map[string]state.Partial{"j-0-0": first.Partial}
	next.Update([]OpenJob{job})
	resumed := next.jobs["j"].items[0]
	g.Expect(resumed.lastEventID).To(Equal(minProgressEvents))
	resumed.appendEvent(Event{ID: minProgressEvents + 1, Data: "more", Version: 4})
	g.Expect(resumed.versions).To(Equal([]uint64{3, 4}))
}

func TestCommittedProgressBelowMinVersionIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	job := testJob("j", 1, 1, noon)
	job.Partial = map[string]state.Partial{"j-0-0": {Events: []string{"x"}, LastID: 1, Versions: []uint64{2}}}
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{job})
	g.Expect(scheduler.jobs["j"].items[0].lastEventID).To(BeZero())
	g.Expect(scheduler.jobs["j"].items[0].events).To(BeEmpty())
}

// The progress on the replicas is always a prefix of one text, with each event once and in
// order, for any sequence of attempts, resets and lost commits.
func TestCommittedProgressIsAPrefixOfTheText(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := state.New()
		job := testJob("j", 1, 1, noon)
		job.Batch.Retention = 1 << 40
		s.Apply(state.Command{At: noon, BatchAccept: &state.BatchAccept{Batch: *job.Batch}})
		scheduler := NewScheduler()
		scheduler.Update([]OpenJob{job})
		it := scheduler.jobs["j"].items[0]
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				it.reset()
			}
			inFlight := testEvents(it.lastEventID+1, rapid.IntRange(0, 60).Draw(rt, "events"), 3)
			if b := it.takeProgress(inFlight); b != nil && rapid.Bool().Draw(rt, "committed") {
				s.Apply(state.Command{At: noon, BatchRecord: &state.BatchRecord{Progress: []state.BatchProgress{*b}}})
			}
			for _, e := range inFlight {
				it.appendEvent(e)
			}
			committed := s.Ledger.Batches["j"].Partial["j-0-0"]
			if committed == nil {
				continue
			}
			g.Expect(committed.LastID).To(Equal(len(committed.Events)))
			for i, d := range committed.Events {
				g.Expect(d).To(Equal(fmt.Sprint("d", i+1)))
			}
		}
	})
}
