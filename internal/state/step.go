package state

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Step is a trainer's step: a stream of positions, each delivered once.
type Step struct {
	ID      string    `json:"id"`
	Account string    `json:"account"`
	Service string    `json:"service"`
	Hash    string    `json:"hash"`  // of the content the trainer opened it with
	Total   int       `json:"total"` // samples wanted
	Owner   string    `json:"owner"` // incarnation of the daemon that runs it
	Address string    `json:"address"`
	Attempt uint64    `json:"attempt"`        // the trainer's newest opening
	MoveID  string    `json:"move,omitempty"` // id of the move that gave it this epoch
	Epoch   uint64    `json:"epoch"`          // grows with each opening and each change of owner
	Slots   []int     `json:"slots"`          // slot of the sample at position i+1; -1 when void
	Acked   int       `json:"acked"`          // highest position the trainer has confirmed to the log
	Done    bool      `json:"done"`           // all delivered and confirmed; Slots is dropped
	At      time.Time `json:"at"`             // of the last command for it
}

// VoidSlot marks a position that carries no sample.
const VoidSlot = -1

// How long the ledger remembers a step after its last command.
const (
	doneStepTTL = time.Hour
	idleStepTTL = 24 * time.Hour
)

// StepOpen opens a step, or opens it again for Owner. Cursor is the last
// position that the trainer holds: later positions become void, and their slots
// are free again. Openings are ordered by Attempt, so that one which arrives
// late cannot undo a newer one.
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

// StepCommit fixes the next positions of a step before their first sending. A
// sample that is older than the staleness bound at this place in the log gets a
// void position.
type StepCommit struct {
	ID     string   `json:"id"`
	Epoch  uint64   `json:"epoch"`
	First  int      `json:"first"`  // position of Slots[0]
	Slots  []int    `json:"slots"`  // slots of the samples
	Oldest []uint64 `json:"oldest"` // oldest weight version of each sample
}

// StepAck records the trainer's cursor. It ends a step whose last sample is
// confirmed.
type StepAck struct {
	ID     string `json:"id"`
	Epoch  uint64 `json:"epoch"`
	Cursor int    `json:"cursor"`
}

// StepMove gives a step, with its positions, to an owner that holds the bodies.
type StepMove struct {
	ID      string `json:"id"`
	MoveID  string `json:"move"` // unique, to know a resend by
	Epoch   uint64 `json:"epoch"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
}

func (s *State) stepOpen(c *StepOpen, at time.Time) Outcome {
	s.Ledger.expireSteps(at)
	old, ok := s.Ledger.Steps[c.ID]
	switch {
	case !ok && c.Cursor > 0:
		return refuse(result.StepUnknown, "no such step; a new one begins at cursor 0")
	case !ok:
		old = Step{ID: c.ID, Account: c.Account, Service: c.Service, Hash: c.Hash, Total: c.Total}
	case old.Account != c.Account:
		return refuse(result.NotOwner, "the step belongs to another account")
	case old.Hash != c.Hash || old.Service != c.Service:
		return refuse(result.StepConflict, fmt.Sprintf("the step was opened for %s with content %.8s, not for %s with %.8s", old.Service, old.Hash, c.Service, c.Hash))
	case old.Attempt == c.Attempt:
		return Outcome{Step: &old} // resent after a lost answer
	case old.Attempt > c.Attempt:
		return refuse(result.StepSuperseded, "a newer opening of the step has come")
	case c.Cursor < old.Acked || (!old.Done && c.Cursor > len(old.Slots)) || (old.Done && c.Cursor > old.Acked):
		return refuse(result.CursorWrong, "the cursor does not fit the step")
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

// owned returns the step of a command from its owner in epoch.
func (l *Ledger) ownedStep(id string, epoch uint64) (Step, Outcome) {
	old, ok := l.Steps[id]
	if !ok {
		return old, refuse(result.StepUnknown, "no such step")
	}
	if old.Epoch != epoch {
		return old, refuse(result.StepMoved, "the step was opened again or has another owner")
	}
	return old, Outcome{}
}

func (s *State) stepCommit(c *StepCommit, at time.Time) Outcome {
	old, o := s.Ledger.ownedStep(c.ID, c.Epoch)
	if o.Code != result.OK {
		return o
	}
	end := c.First - 1 + len(c.Slots)
	if c.First >= 1 && end <= len(old.Slots) {
		return s.positionsOutcome(old, c.First-1, end) // resent after a lost answer
	}
	if c.First != len(old.Slots)+1 || len(c.Oldest) != len(c.Slots) {
		return refuse(result.CursorWrong, "the positions do not follow the last one")
	}
	if !old.free(c.Slots) {
		return refuse(result.StepConflict, "a slot has a position already")
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

// free reports whether each of slots is a slot of the step without a position.
func (x Step) free(slots []int) bool {
	taken := map[int]bool{}
	for _, slot := range x.Slots {
		taken[slot] = true
	}
	for _, slot := range slots {
		if slot < 0 || slot >= x.Total || taken[slot] {
			return false
		}
		taken[slot] = true
	}
	return true
}

// positionsOutcome answers with the positions from to end only: an answer must
// not grow with the step. Version is the oldest weight version allowed now.
func (s *State) positionsOutcome(x Step, from, end int) Outcome {
	x.Slots = slices.Clone(x.Slots[from:end])
	return Outcome{Version: s.Config.OldestAllowed(x.Service), Step: &x}
}

func (s *State) stepAck(c *StepAck, at time.Time) Outcome {
	old, o := s.Ledger.ownedStep(c.ID, c.Epoch)
	if o.Code != result.OK {
		return o
	}
	if old.Done && c.Cursor == old.Acked {
		return Outcome{Step: &old} // resent after a lost answer
	}
	if c.Cursor < old.Acked || c.Cursor > len(old.Slots) {
		return refuse(result.CursorWrong, "the cursor does not fit the step")
	}
	old.Acked = c.Cursor
	if c.Cursor == len(old.Slots) && old.delivered() == old.Total {
		old.Done = true
		old.Slots = nil
	}
	old.At = at
	s.Ledger.Steps[c.ID] = old
	return s.positionsOutcome(old, 0, 0)
}

// delivered counts the positions that carry a sample.
func (x Step) delivered() int {
	n := 0
	for _, slot := range x.Slots {
		if slot != VoidSlot {
			n++
		}
	}
	return n
}

func (s *State) stepMove(c *StepMove, at time.Time) Outcome {
	old, o := s.Ledger.ownedStep(c.ID, c.Epoch)
	if o.Code != result.OK {
		if c.MoveID != "" && old.MoveID == c.MoveID {
			return Outcome{Step: &old} // resent after a lost answer
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

// expireSteps forgets steps by the clock of the commands, so that every replica
// forgets the same.
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
