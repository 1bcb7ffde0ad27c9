package rollout

import (
	"slices"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// slotState of one wanted sample.
type slotState uint8

const (
	slotWaiting slotState = iota // to be generated
	slotRunning
	slotReady // generated, without a position
	slotPlaced
)

// Body is the generated sample of a slot.
type Body struct {
	Slot   int    `json:"slot"`
	Sample Sample `json:"sample"`
}

// position of the step's stream.
type position struct {
	Body // empty when void, or acknowledged by the trainer
	void bool
}

// Stream is the plain state machine of one step at its owner. It contains the
// positions known to be committed; their samples may have been sent, so only a
// reopening by the trainer can revoke them.
type Stream struct {
	perGroup  int
	slots     []slotState
	proven    []bool // by group: an upstream has generated a token for its prompt
	ready     []Body // by completion
	pending   []Body // proposed; outcome not known yet
	positions []position
	acked     int
}

// NewStream starts a step of total samples from the committed positions, whose
// slots are given, VoidSlot for void ones. The trainer has received those up to cursor;
// the later ones that are not void must be given by Restore.
func NewStream(total, perGroup int, placed []int, cursor int) *Stream {
	s := &Stream{perGroup: perGroup, slots: make([]slotState, total), proven: make([]bool, total/perGroup), acked: cursor}
	s.append(placed, nil)
	return s
}

// append adds committed positions, with the bodies that are known.
func (s *Stream) append(placed []int, bodies map[int]Sample) {
	for _, slot := range placed {
		p := position{Body: Body{Slot: slot}, void: slot == state.VoidSlot}
		if !p.void {
			s.slots[slot] = slotPlaced
			s.Proven(slot)
			p.Sample = bodies[slot]
			p.Sample.Position = len(s.positions) + 1
		}
		s.positions = append(s.positions, p)
	}
}

// Next returns a slot to generate; false when none waits. One sample of a group
// runs first: a prompt that crashes upstreams would otherwise crash as many at
// once as its group has samples.
func (s *Stream) Next() (int, bool) {
	for i, state := range s.slots {
		if state == slotWaiting && s.mayStart(i) {
			s.slots[i] = slotRunning
			return i, true
		}
	}
	return 0, false
}

func (s *Stream) mayStart(slot int) bool {
	group := slot / s.perGroup
	if s.proven[group] {
		return true
	}
	return !slices.Contains(s.slots[group*s.perGroup:(group+1)*s.perGroup], slotRunning)
}

// Proven records that an upstream generated a token for the prompt of a slot; true
// on the first call for its group.
func (s *Stream) Proven(slot int) bool {
	group := slot / s.perGroup
	news := !s.proven[group]
	s.proven[group] = true
	return news
}

// Failed makes a slot wait again.
func (s *Stream) Failed(slot int) {
	if s.slots[slot] == slotRunning {
		s.slots[slot] = slotWaiting
	}
}

// Finished stores the generated sample of a slot.
func (s *Stream) Finished(slot int, sample Sample) {
	if s.slots[slot] != slotRunning {
		return
	}
	sample.Group = slot / s.perGroup
	sample.Index = slot % s.perGroup
	s.addReady(Body{slot, sample})
}

func (s *Stream) addReady(b Body) {
	b.Sample.Position = 0
	s.slots[b.Slot] = slotReady
	s.Proven(b.Slot)
	s.ready = append(s.ready, b)
}

// DropStale drops the samples without a position that are older than allowed;
// their slots wait again. It returns their number.
func (s *Stream) DropStale(allowed uint64) int {
	var keep []Body
	for _, b := range s.ready {
		if b.Sample.OldestVersion() < allowed {
			s.slots[b.Slot] = slotWaiting
			continue
		}
		keep = append(keep, b)
	}
	dropped := len(s.ready) - len(keep)
	s.ready = keep
	return dropped
}

// Propose returns the next positions to commit, at most limit: those proposed
// before, unchanged, while the outcome of that proposal is unknown. Slots is
// empty when nothing is ready.
func (s *Stream) Propose(limit int) state.StepCommit {
	if len(s.pending) == 0 {
		n := min(limit, len(s.ready))
		s.pending = slices.Clone(s.ready[:n])
		s.ready = slices.Clone(s.ready[n:])
	}
	c := state.StepCommit{First: len(s.positions) + 1}
	for _, b := range s.pending {
		c.Slots = append(c.Slots, b.Slot)
		c.Oldest = append(c.Oldest, b.Sample.OldestVersion())
	}
	return c
}

// Committed applies the slots that the log assigned to the proposed positions. A
// sample that was stale at that index has a void position; its slot waits again.
func (s *Stream) Committed(slots []int) {
	bodies := map[int]Sample{}
	for _, b := range s.pending {
		s.slots[b.Slot] = slotWaiting
		bodies[b.Slot] = b.Sample
	}
	s.pending = nil
	s.append(slots, bodies)
}

// Ack applies the trainer's cursor; false when it lies outside the stream.
func (s *Stream) Ack(cursor int) bool {
	if cursor < s.acked || cursor > len(s.positions) {
		return false
	}
	for i := s.acked; i < cursor; i++ {
		s.positions[i].Sample = Sample{} // the trainer has received it
	}
	s.acked = cursor
	return true
}

// Sent returns the committed positions after the cursor, at most limit. They
// may have been sent before. It fails with StaleVersion when one has become
// older than allowed: the trainer must reopen the step, which revokes the
// positions that it has not received.
func (s *Stream) Sent(limit int, allowed uint64) ([]Sample, error) {
	var out []Sample
	for i := s.acked; i < len(s.positions) && len(out) < limit; i++ {
		p := s.positions[i]
		switch {
		case p.void:
			out = append(out, Sample{Position: i + 1, Void: true})
		case p.Sample.OldestVersion() < allowed:
			return nil, result.New(result.StaleVersion, "position %d became too old before the trainer confirmed it", i+1)
		default:
			out = append(out, p.Sample)
		}
	}
	return out, nil
}

// Done reports whether every sample is placed and acknowledged.
func (s *Stream) Done() bool {
	if s.acked != len(s.positions) {
		return false
	}
	return !slices.ContainsFunc(s.slots, func(state slotState) bool { return state != slotPlaced })
}

// Rewind applies a reopening by the trainer, which has received the positions up
// to cursor. placed are the slots of all positions after it. Samples that the
// trainer has not received are ready again.
func (s *Stream) Rewind(placed []int, cursor int) {
	var free []Body
	for _, p := range s.positions[min(cursor, len(s.positions)):] {
		if !p.void {
			free = append(free, p.Body)
		}
	}
	free = append(free, s.pending...)
	s.pending = nil
	s.positions = nil
	for i, state := range s.slots {
		if state == slotPlaced {
			s.slots[i] = slotWaiting
		}
	}
	for _, b := range free {
		s.slots[b.Slot] = slotWaiting
	}
	s.append(placed, nil)
	s.acked = cursor
	// Another owner may have placed slots that were ready here.
	s.ready = slices.DeleteFunc(s.ready, func(b Body) bool { return s.slots[b.Slot] != slotReady })
	for _, b := range free {
		if s.slots[b.Slot] == slotWaiting {
			s.addReady(b)
		}
	}
}

// Bodies returns the samples that the trainer has not acknowledged.
func (s *Stream) Bodies() []Body {
	var out []Body
	for _, p := range s.positions[s.acked:] {
		if !p.void {
			out = append(out, p.Body)
		}
	}
	out = append(out, s.pending...)
	return append(out, s.ready...)
}

// Restore adds the bodies of an earlier owner to a new stream. Those without a
// position are ready.
func (s *Stream) Restore(bodies []Body) {
	placed := map[int]int{} // index by slot
	for i, p := range s.positions {
		placed[p.Slot] = i
	}
	for _, b := range bodies {
		i, ok := placed[b.Slot]
		switch {
		case ok && i >= s.acked:
			b.Sample.Position = i + 1
			s.positions[i].Body = b
		case !ok:
			s.addReady(b)
		}
	}
}
