package state

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Step is a training step whose samples are delivered to the trainer as a stream, each of
// them once. Slots number the samples, from 0 to Total-1. Positions number the elements of
// the stream, from 1. A position carries one sample or is void.
type Step struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Service string    `json:"service"`
	Hash    string    `json:"hash"`  // of the content with which the trainer opened the step
	Total   int       `json:"total"` // number of samples requested
	Owner   string    `json:"owner"` // incarnation of the daemon that runs the step
	Address string    `json:"address"`
	Attempt uint64    `json:"attempt"`        // number of the trainer's newest opening
	MoveID  string    `json:"move,omitempty"` // ID of the move that began this epoch
	Epoch   uint64    `json:"epoch"`          // incremented by each opening and each change of owner
	Slots   []int     `json:"slots"`          // slot of the sample at position i+1, or VoidSlot
	Acked   int       `json:"acked"`          // highest position that the trainer has confirmed
	Done    bool      `json:"done"`           // all samples are delivered and confirmed; Slots is nil
	At      time.Time `json:"at"`             // time of the last command for the step
}

// VoidSlot marks a position that carries no sample.
const VoidSlot = -1

// Retention of a step in the ledger after its last command.
const (
	doneStepTTL = time.Hour
	idleStepTTL = 24 * time.Hour
)

// StepOpen opens a step for Owner, or reopens it. Cursor is the last position that the
// trainer holds. Later positions become void, and their slots become unassigned.
// Openings are ordered by Attempt, so that a late one cannot undo a newer one.
type StepOpen struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Service string `json:"service"`
	Hash    string `json:"hash"`
	Total   int    `json:"total"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
	Attempt uint64 `json:"attempt"`
	Cursor  int    `json:"cursor"`
}

// StepCommit assigns the next positions of a step before their samples are first sent. A
// sample that exceeds the staleness bound when the command is applied gets a void
// position.
type StepCommit struct {
	ID     string   `json:"id"`
	Epoch  uint64   `json:"epoch"`
	First  int      `json:"first"`  // position of Slots[0]
	Slots  []int    `json:"slots"`  // slots of the samples
	Oldest []uint64 `json:"oldest"` // oldest weight version of each sample
}

// StepAck records the trainer's cursor. The step is done once its last sample is
// confirmed.
type StepAck struct {
	ID     string `json:"id"`
	Epoch  uint64 `json:"epoch"`
	Cursor int    `json:"cursor"`
}

// StepMove transfers a step, with its positions, to an owner that holds the generated
// samples which the trainer has not confirmed yet.
type StepMove struct {
	ID      string `json:"id"`
	MoveID  string `json:"move"` // unique; identifies resent commands
	Epoch   uint64 `json:"epoch"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
}

func (s *State) stepOpen(c *StepOpen, at time.Time) Outcome {
	s.Ledger.expireSteps(at)
	old, ok := s.Ledger.Steps[c.ID]
	switch {
	case !ok && c.Cursor > 0:
		return reject(result.StepUnknown, "no such step; a new one begins at cursor 0")
	case !ok:
		old = Step{ID: c.ID, Account: c.Account, Service: c.Service, Hash: c.Hash, Total: c.Total}
	case old.Account != c.Account:
		return reject(result.NotOwner, "the step belongs to another account")
	case old.Hash != c.Hash || old.Service != c.Service:
		return reject(result.StepConflict, fmt.Sprintf("the step was opened for %s with content %.8s, not for %s with %.8s", old.Service, old.Hash, c.Service, c.Hash))
	case old.Attempt == c.Attempt:
		return Outcome{Step: &old} // resent because the reply was lost
	case old.Attempt > c.Attempt:
		return reject(result.StepSuperseded, "a newer opening of the step has come")
	case c.Cursor < old.Acked || (!old.Done && c.Cursor > len(old.Slots)) || (old.Done && c.Cursor > old.Acked):
		return reject(result.CursorWrong, "the cursor does not fit the step")
	}
	old.Slots = slices.Clone(old.Slots)
	for i := c.Cursor; i < len(old.Slots); i++ {
		old.Slots[i] = VoidSlot
	}
	old.Acked = c.Cursor
	old.Owner = c.Owner
	old.Address = c.Address
	old.Attempt = c.Attempt
	old.MoveID = ""
	old.Epoch++
	old.At = at
	s.Ledger.Steps[c.ID] = old
	return Outcome{Step: &old}
}

// stepInEpoch returns the step with an OK outcome if epoch is its current epoch. Otherwise
// the outcome rejects the command, and the step is the current one if there is any.
func (l *Ledger) stepInEpoch(id string, epoch uint64) (Step, Outcome) {
	old, ok := l.Steps[id]
	if !ok {
		return old, reject(result.StepUnknown, "no such step")
	}
	if old.Epoch != epoch {
		return old, reject(result.StepMoved, "the step was opened again or has another owner")
	}
	return old, Outcome{}
}

func (s *State) stepCommit(c *StepCommit, at time.Time) Outcome {
	old, o := s.Ledger.stepInEpoch(c.ID, c.Epoch)
	if o.Code != result.OK {
		return o
	}
	end := c.First - 1 + len(c.Slots)
	if c.First >= 1 && end <= len(old.Slots) {
		return s.positionsOutcome(old, c.First-1, end) // resent because the reply was lost
	}
	if c.First != len(old.Slots)+1 || len(c.Oldest) != len(c.Slots) {
		return reject(result.CursorWrong, "the positions do not follow the last one")
	}
	if !old.allUnassigned(c.Slots) {
		return reject(result.StepConflict, "a slot has a position already")
	}
	limit := s.Config.OldestAllowed(old.Service)
	for i, slot := range c.Slots {
		if c.Oldest[i] < limit {
			slot = VoidSlot
		}
		old.Slots = append(old.Slots, slot)
	}
	old.At = at
	s.Ledger.Steps[c.ID] = old
	return s.positionsOutcome(old, c.First-1, end)
}

// allUnassigned reports whether slots are different slots of the step, none of which has
// a position.
func (x Step) allUnassigned(slots []int) bool {
	assigned := map[int]bool{}
	for _, slot := range x.Slots {
		assigned[slot] = true
	}
	for _, slot := range slots {
		if slot < 0 || slot >= x.Total || assigned[slot] {
			return false
		}
		assigned[slot] = true
	}
	return true
}

// positionsOutcome returns an outcome with only Slots[from:end] of the step, so that its
// size does not grow with the step. Its Version is the oldest weight version that the
// staleness bound allows now.
func (s *State) positionsOutcome(x Step, from, end int) Outcome {
	x.Slots = slices.Clone(x.Slots[from:end])
	return Outcome{Version: s.Config.OldestAllowed(x.Service), Step: &x}
}

func (s *State) stepAck(c *StepAck, at time.Time) Outcome {
	old, o := s.Ledger.stepInEpoch(c.ID, c.Epoch)
	if o.Code != result.OK {
		return o
	}
	if old.Done && c.Cursor == old.Acked {
		return Outcome{Step: &old} // resent because the reply was lost
	}
	if c.Cursor < old.Acked || c.Cursor > len(old.Slots) {
		return reject(result.CursorWrong, "the cursor does not fit the step")
	}
	old.Acked = c.Cursor
	if c.Cursor == len(old.Slots) && old.assignedCount() == old.Total {
		old.Done = true
		old.Slots = nil
	}
	old.At = at
	s.Ledger.Steps[c.ID] = old
	return s.positionsOutcome(old, 0, 0)
}

// assignedCount returns the number of positions that carry a sample.
func (x Step) assignedCount() int {
	n := 0
	for _, slot := range x.Slots {
		if slot != VoidSlot {
			n++
		}
	}
	return n
}

func (s *State) stepMove(c *StepMove, at time.Time) Outcome {
	old, o := s.Ledger.stepInEpoch(c.ID, c.Epoch)
	if o.Code != result.OK {
		if c.MoveID != "" && old.MoveID == c.MoveID {
			return Outcome{Step: &old} // resent because the reply was lost
		}
		return o
	}
	old.Owner = c.Owner
	old.Address = c.Address
	old.MoveID = c.MoveID
	old.Epoch++
	old.At = at
	s.Ledger.Steps[c.ID] = old
	return Outcome{Step: &old}
}

// expireSteps discards expired steps. at is the command's time, so that every replica
// discards the same steps.
func (l *Ledger) expireSteps(at time.Time) {
	for id, x := range l.Steps {
		ttl := idleStepTTL
		if x.Done {
			ttl = doneStepTTL
		}
		if at.Sub(x.At) > ttl {
			delete(l.Steps, id)
		}
	}
}
