package rollout

import (
	"slices"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// slotState is the state of a slot, which stands for one sample of the step.
type slotState uint8

const (
	slotWaiting   slotState = iota // to be generated
	slotRunning                    // being generated
	slotReady                      // generated, without a position
	slotCommitted                  // has a committed position
)

// SlotSample is the generated sample of a slot.
type SlotSample struct {
	Slot   int    `json:"slot"`
	Sample Sample `json:"sample"`
}

// position is a committed position of a step.
type position struct {
	SlotSample // without a sample if void or acknowledged by the trainer
	void       bool
}

// Stream is the state machine of one step at its owner, without I/O. It contains the
// positions that are known to be committed. Since their samples may have been sent, only a
// reopening by the trainer can void them.
type Stream struct {
	perGroup  int
	slots     []slotState
	promptRan []bool       // by group: an upstream has generated a token for its prompt
	ready     []SlotSample // generated, in order of completion
	pending   []SlotSample // proposed; the outcome is not known yet
	positions []position
	acked     int // the trainer's cursor
}

// NewStream returns a stream with total samples. committed lists the slots of the committed
// positions, with VoidSlot for void ones. The trainer has received the positions up to
// cursor. The samples of later positions that are not void must be added with Restore.
func NewStream(total, perGroup int, committed []int, cursor int) *Stream {
	s := &Stream{perGroup: perGroup, slots: make([]slotState, total), promptRan: make([]bool, total/perGroup), acked: cursor}
	s.append(committed, nil)
	return s
}

// append adds committed positions. samples holds the known samples, by slot.
func (s *Stream) append(committed []int, samples map[int]Sample) {
	for _, slot := range committed {
		p := position{SlotSample: SlotSample{Slot: slot}, void: slot == state.VoidSlot}
		if !p.void {
			s.slots[slot] = slotCommitted
			s.MarkPromptRan(slot)
			p.Sample = samples[slot]
			p.Sample.Position = len(s.positions) + 1
		}
		s.positions = append(s.positions, p)
	}
}

// Next returns a slot to generate and marks it as running; false if there is none. Samples
// start only of groups that allowed accepts. Until an upstream has generated a token for the
// prompt of a group, only one sample of the group runs. Otherwise a prompt that crashes
// upstreams would crash as many of them at once as its group has samples.
func (s *Stream) Next(allowed func(group int) bool) (int, bool) {
	for i, state := range s.slots {
		if state == slotWaiting && s.mayStart(i) && allowed(i/s.perGroup) {
			s.slots[i] = slotRunning
			return i, true
		}
	}
	return 0, false
}

// mayStart reports whether a sample of the slot's group may start.
func (s *Stream) mayStart(slot int) bool {
	group := slot / s.perGroup
	if s.promptRan[group] {
		return true
	}
	return !slices.Contains(s.slots[group*s.perGroup:(group+1)*s.perGroup], slotRunning)
}

// MarkPromptRan records that an upstream generated a token for the prompt of a slot. It
// returns true if this is the first one for its group.
func (s *Stream) MarkPromptRan(slot int) bool {
	group := slot / s.perGroup
	first := !s.promptRan[group]
	s.promptRan[group] = true
	return first
}

// Failed makes a running slot wait again.
func (s *Stream) Failed(slot int) {
	if s.slots[slot] == slotRunning {
		s.slots[slot] = slotWaiting
	}
}

// Finished stores the generated sample of a running slot.
func (s *Stream) Finished(slot int, sample Sample) {
	if s.slots[slot] != slotRunning {
		return
	}
	sample.Group = slot / s.perGroup
	sample.Index = slot % s.perGroup
	s.addReady(SlotSample{slot, sample})
}

func (s *Stream) addReady(ss SlotSample) {
	ss.Sample.Position = 0
	s.slots[ss.Slot] = slotReady
	s.MarkPromptRan(ss.Slot)
	s.ready = append(s.ready, ss)
}

// DropStale discards the ready samples whose oldest weight version is below oldestAllowed.
// Their slots wait again. It returns the number of discarded samples.
func (s *Stream) DropStale(oldestAllowed uint64) int {
	var kept []SlotSample
	for _, ss := range s.ready {
		if ss.Sample.OldestVersion() < oldestAllowed {
			s.slots[ss.Slot] = slotWaiting
			continue
		}
		kept = append(kept, ss)
	}
	dropped := len(s.ready) - len(kept)
	s.ready = kept
	return dropped
}

// Propose returns the next positions to commit, at most limit. While the outcome of the
// previous proposal is unknown, it returns that proposal unchanged. Slots is empty if no
// sample is ready.
func (s *Stream) Propose(limit int) state.StepCommit {
	if len(s.pending) == 0 {
		n := min(limit, len(s.ready))
		s.pending = slices.Clone(s.ready[:n])
		s.ready = slices.Clone(s.ready[n:])
	}
	c := state.StepCommit{First: len(s.positions) + 1}
	for _, ss := range s.pending {
		c.Slots = append(c.Slots, ss.Slot)
		c.Oldest = append(c.Oldest, ss.Sample.OldestVersion())
	}
	return c
}

// ApplyCommit applies the slots that the control log assigned to the proposed positions. A
// sample that was stale at the log index of the commit has a void position; its slot waits
// again.
func (s *Stream) ApplyCommit(slots []int) {
	samples := map[int]Sample{}
	for _, ss := range s.pending {
		s.slots[ss.Slot] = slotWaiting
		samples[ss.Slot] = ss.Sample
	}
	s.pending = nil
	s.append(slots, samples)
}

// Ack applies the trainer's cursor. It returns false if the cursor is before the
// acknowledged position or after the last committed one.
func (s *Stream) Ack(cursor int) bool {
	if cursor < s.acked || cursor > len(s.positions) {
		return false
	}
	for i := s.acked; i < cursor; i++ {
		s.positions[i].Sample = Sample{} // frees the memory
	}
	s.acked = cursor
	return true
}

// Unacknowledged returns the committed positions after the cursor, at most limit. They may
// have been sent before. It fails with StaleVersion if the oldest weight version of a
// sample is now below oldestAllowed. The trainer must then reopen the step, which voids the
// positions that it has not received.
func (s *Stream) Unacknowledged(limit int, oldestAllowed uint64) ([]Sample, error) {
	var out []Sample
	for i := s.acked; i < len(s.positions) && len(out) < limit; i++ {
		p := s.positions[i]
		switch {
		case p.void:
			out = append(out, Sample{Position: i + 1, Void: true})
		case p.Sample.OldestVersion() < oldestAllowed:
			return nil, result.New(result.StaleVersion, "position %d became stale before the trainer acknowledged it", i+1)
		default:
			out = append(out, p.Sample)
		}
	}
	return out, nil
}

// Done reports whether every sample is committed and every position is acknowledged.
func (s *Stream) Done() bool {
	if s.acked != len(s.positions) {
		return false
	}
	return !slices.ContainsFunc(s.slots, func(state slotState) bool { return state != slotCommitted })
}

// Rewind applies a reopening by the trainer, which has received the positions up to cursor.
// committed lists the slots of all positions of the reopened step, with VoidSlot for void
// ones. Samples that the trainer has not received are ready again.
func (s *Stream) Rewind(committed []int, cursor int) {
	var notReceived []SlotSample
	for _, p := range s.positions[min(cursor, len(s.positions)):] {
		if !p.void {
			notReceived = append(notReceived, p.SlotSample)
		}
	}
	notReceived = append(notReceived, s.pending...)
	s.pending = nil
	s.positions = nil
	for i, state := range s.slots {
		if state == slotCommitted {
			s.slots[i] = slotWaiting
		}
	}
	for _, ss := range notReceived {
		s.slots[ss.Slot] = slotWaiting
	}
	s.append(committed, nil)
	s.acked = cursor
	// Another owner may have committed slots that were ready here.
	s.ready = slices.DeleteFunc(s.ready, func(ss SlotSample) bool { return s.slots[ss.Slot] != slotReady })
	for _, ss := range notReceived {
		if s.slots[ss.Slot] == slotWaiting {
			s.addReady(ss)
		}
	}
}

// Samples returns all generated samples that the trainer has not acknowledged.
func (s *Stream) Samples() []SlotSample {
	var out []SlotSample
	for _, p := range s.positions[s.acked:] {
		if !p.void {
			out = append(out, p.SlotSample)
		}
	}
	out = append(out, s.pending...)
	return append(out, s.ready...)
}

// Restore adds the samples of an earlier owner to a new stream. Samples without a position
// are ready.
func (s *Stream) Restore(samples []SlotSample) {
	positionBySlot := map[int]int{} // index in positions
	for i, p := range s.positions {
		positionBySlot[p.Slot] = i
	}
	for _, ss := range samples {
		i, ok := positionBySlot[ss.Slot]
		switch {
		case ok && i >= s.acked:
			ss.Sample.Position = i + 1
			s.positions[i].SlotSample = ss
		case !ok:
			s.addReady(ss)
		}
	}
}
