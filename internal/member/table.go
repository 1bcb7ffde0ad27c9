package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of the table.
const (
	// SuspicionTime is how long a suspected daemon may take to speak up.
	SuspicionTime = time.Second
	// goneTime is how long a dropped description stays refused.
	goneTime = time.Minute
)

// entry is the record of another daemon.
type entry struct {
	daemon    Daemon
	suspectAt time.Time // zero: not suspected
}

// grave keeps a dropped description from coming back by hearsay.
type grave struct {
	daemon Daemon
	until  time.Time
}

// Table is a plain state machine; the caller provides time and locking.
type Table struct {
	self   Daemon
	others map[string]*entry
	gone   map[string]grave
	round  []string // ids still to be probed in this round
}

// NewTable returns a table that contains only self.
func NewTable(self Daemon) *Table {
	return &Table{self: self, others: map[string]*entry{}, gone: map[string]grave{}}
}

// Self returns this daemon's own description.
func (t *Table) Self() Daemon { return t.self }

// SetSelf updates the own description and reports whether the others must be
// notified: not for a change of load alone.
func (t *Table) SetSelf(d Daemon) bool {
	d.Seq = t.self.Seq
	old := t.self
	old.InFlight = d.InFlight
	changed := d != old
	if changed || d.Seq == 0 {
		d.Seq++
	}
	t.self = d
	return changed || old.Seq == 0
}

// Take records a description and reports whether it was news. Descriptions of
// other regions, older ones and dropped ones are ignored.
func (t *Table) Take(now time.Time, d Daemon) bool {
	if d.ID == t.self.ID || d.Region != t.self.Region {
		return false
	}
	if g, ok := t.gone[d.ID]; ok && d.newer(g.daemon) <= 0 && now.Before(g.until) {
		return false
	}
	old := t.others[d.ID]
	switch {
	case old == nil || d.newer(old.daemon) > 0:
		t.others[d.ID] = &entry{daemon: d}
		delete(t.gone, d.ID)
		return true
	case d.newer(old.daemon) == 0:
		old.daemon.InFlight = d.InFlight
	}
	return false
}

// Suspect records that d did not answer. It reports whether d is this daemon
// itself, which must then refute.
func (t *Table) Suspect(now time.Time, d Daemon) (refute bool) {
	if d.ID == t.self.ID {
		return d.newer(t.self) >= 0
	}
	e := t.others[d.ID]
	if e == nil || e.daemon.newer(d) > 0 || !e.suspectAt.IsZero() {
		return false
	}
	e.suspectAt = now
	return false
}

// Refute makes the own description newer than any suspicion of it.
func (t *Table) Refute() { t.self.Seq++ }

// Heard clears a suspicion: the daemon has just answered this one.
func (t *Table) Heard(id string) {
	if e := t.others[id]; e != nil {
		e.suspectAt = time.Time{}
	}
}

// Expire drops the daemons that did not speak up in time.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.others {
		if !e.suspectAt.IsZero() && now.Sub(e.suspectAt) >= SuspicionTime {
			t.gone[id] = grave{e.daemon, now.Add(goneTime)}
			delete(t.others, id)
		}
	}
	for id, g := range t.gone {
		if now.After(g.until) {
			delete(t.gone, id)
		}
	}
}

// Live returns the daemons that are up, this one included, by id.
func (t *Table) Live() []Daemon {
	out := []Daemon{t.self}
	for _, e := range t.others {
		out = append(out, e.daemon)
	}
	slices.SortFunc(out, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// NextProbe returns whom to probe: every daemon once a round, in random order.
func (t *Table) NextProbe(rnd *rand.Rand) (Daemon, bool) {
	for range 2 {
		for len(t.round) > 0 {
			id := t.round[0]
			t.round = t.round[1:]
			if e := t.others[id]; e != nil {
				return e.daemon, true
			}
		}
		t.round = t.ids(rnd)
	}
	return Daemon{}, false
}

// Helpers returns up to k daemons, other than one, that could probe it too.
func (t *Table) Helpers(rnd *rand.Rand, k int, except string) []Daemon {
	var out []Daemon
	for _, id := range t.ids(rnd) {
		if id != except && len(out) < k {
			out = append(out, t.others[id].daemon)
		}
	}
	return out
}

// ids returns the other daemons in random order.
func (t *Table) ids(rnd *rand.Rand) []string {
	out := make([]string, 0, len(t.others))
	for id := range t.others {
		out = append(out, id)
	}
	slices.Sort(out) // map order would make runs differ
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Hash is equal on daemons that hold the same descriptions.
func (t *Table) Hash() uint64 {
	var sum uint64
	for _, d := range t.Live() {
		sum ^= xxhash.Sum64String(d.ID + "/" + strconv.FormatInt(d.Incarnation, 36) + "/" + strconv.FormatUint(d.Seq, 36))
	}
	return sum
}
