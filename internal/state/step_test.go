package state

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/result"
)

func newStepState(published uint64) *State {
	s := New()
	s.Config.Services = map[string]Service{"m": {Name: "m", Parsed: &document.Service{Owner: "a", Staleness: 1}}}
	s.Apply(Command{WeightsPut: &WeightsPut{Service: "m", Version: published, Account: "a"}})
	return s
}

func openStep(s *State, id string, at time.Time, attempt uint64) Outcome {
	return s.Apply(Command{At: at, StepOpen: &StepOpen{ID: id, Account: "a", Service: "m", Total: 2, Owner: "o", Attempt: attempt}})
}

// The staleness bound applies when the commit is applied. A sample that is too old then
// must get a void position, and its slot must stay unassigned.
func TestCommitVoidsStaleSamples(t *testing.T) {
	g := NewWithT(t)
	s := newStepState(5)
	openStep(s, "a/x", time.Time{}, 1)
	commit := func(first int, slots []int, oldest ...uint64) Outcome {
		return s.Apply(Command{StepCommit: &StepCommit{ID: "a/x", Epoch: 1, First: first, Slots: slots, Oldest: oldest}})
	}
	o := commit(1, []int{0, 1}, 3, 4)
	g.Expect(o.Step.Slots).To(Equal([]int{VoidSlot, 1}))
	g.Expect(o.Version).To(Equal(uint64(4)))
	g.Expect(commit(1, []int{0, 1}, 3, 4).Step.Slots).To(Equal(o.Step.Slots))
	g.Expect(commit(3, []int{1}, 5).Code).To(Equal(result.StepConflict))
	g.Expect(commit(3, []int{0}, 5).Step.Slots).To(Equal([]int{0}))
}

// The ledger must not grow with the number of past steps.
func TestEndedStepsAreDiscarded(t *testing.T) {
	g := NewWithT(t)
	s := newStepState(1)
	at := time.Unix(0, 0)
	for i := range 100 {
		id := fmt.Sprint("a/", i)
		openStep(s, id, at, 1)
		s.Apply(Command{At: at, StepCommit: &StepCommit{ID: id, Epoch: 1, First: 1, Slots: []int{0, 1}, Oldest: []uint64{1, 1}}})
		s.Apply(Command{At: at, StepAck: &StepAck{ID: id, Epoch: 1, Cursor: 2}})
		g.Expect(s.Ledger.Steps[id].Slots).To(BeEmpty())
		at = at.Add(4 * time.Minute)
	}
	g.Expect(len(s.Ledger.Steps)).To(BeNumerically("<=", int(doneStepTTL/(4*time.Minute))+1))
	openStep(s, "a/abandoned", at, 1)
	openStep(s, "a/next", at.Add(idleStepTTL+1), 1)
	g.Expect(s.StepView("a/abandoned")).To(BeNil())
}
