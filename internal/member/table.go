package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timeouts of the table.
const (
	// SuspicionTimeout is how long a suspected daemon has to refute the suspicion.
	SuspicionTimeout = time.Second
	// tombstoneTTL is how long the description of an ejected daemon is rejected.
	tombstoneTTL = time.Minute
)

// peerState is what the table holds about another daemon.
type peerState struct {
	daemon      Daemon
	suspectedAt time.Time // zero: not suspected
}

// tombstone holds the last known description of an ejected daemon. It keeps other daemons
// from adding the same description again.
type tombstone struct {
	daemon    Daemon
	expiresAt time.Time
}

// Table is the set of daemons known to this daemon. It does no I/O and takes no locks; the
// caller passes in the time and serializes the calls.
type Table struct {
	self       Daemon
	others     map[string]*peerState
	tombstones map[string]tombstone
	probeQueue []string // IDs still to be probed in this round
}

// NewTable returns a table that contains only self.
func NewTable(self Daemon) *Table {
	return &Table{self: self, others: map[string]*peerState{}, tombstones: map[string]tombstone{}}
}

// Self returns this daemon's description.
func (t *Table) Self() Daemon { return t.self }

// SetSelf updates this daemon's description and reports whether it must be announced. A
// change of InFlight alone isn't announced.
func (t *Table) SetSelf(d Daemon) bool {
	d.Seq, d.Epoch = t.self.Seq, t.self.Epoch
	old := t.self
	old.InFlight = d.InFlight
	changed := d != old
	if changed || d.Seq == 0 {
		d.Seq++
	}
	t.self = d
	return changed || old.Seq == 0
}

// Merge records the description d of another daemon and reports whether it is newer than
// the known one. It ignores descriptions from other regions, older descriptions, and
// those that a tombstone covers. If d has the version that is already known, it only
// updates InFlight.
func (t *Table) Merge(now time.Time, d Daemon) bool {
	if d.ID == t.self.ID || d.Region != t.self.Region {
		return false
	}
	if ts, ok := t.tombstones[d.ID]; ok && d.compareVersion(ts.daemon) <= 0 && now.Before(ts.expiresAt) {
		return false
	}
	old := t.others[d.ID]
	switch {
	case old == nil || d.compareVersion(old.daemon) > 0:
		t.others[d.ID] = &peerState{daemon: d}
		delete(t.tombstones, d.ID)
		return true
	case d.compareVersion(old.daemon) == 0:
		old.daemon.InFlight = d.InFlight
	}
	return false
}

// Rejection returns the description that keeps Merge from recording the description d of
// another daemon, or nil if there is none.
func (t *Table) Rejection(now time.Time, d Daemon) *Rejection {
	if ts, ok := t.tombstones[d.ID]; ok && d.compareVersion(ts.daemon) <= 0 && now.Before(ts.expiresAt) {
		return &Rejection{Known: ts.daemon, Ejected: true}
	}
	if e := t.others[d.ID]; e != nil && d.compareVersion(e.daemon) < 0 {
		return &Rejection{Known: e.daemon}
	}
	return nil
}

// Renew makes this daemon's description newer than the one that makes another daemon
// reject it. It reports whether the description changed and must be announced. A
// description with another address is that of a successor on another VM, which stays.
func (t *Table) Renew(r Rejection) bool {
	order := r.Known.compareVersion(t.self)
	if r.Known.ID != t.self.ID || r.Known.PeerAddress != t.self.PeerAddress || order < 0 || order == 0 && !r.Ejected {
		return false
	}
	if e := r.Known.epoch(); e > t.self.Incarnation {
		t.self.Epoch = e
	}
	t.self.Seq = r.Known.Seq + 1
	return true
}

// Suspect records that d didn't answer. It ignores a description of another daemon that is
// older than the known one. It returns true if d is this daemon with a description that is
// not older than its current one; the caller must then call Refute.
func (t *Table) Suspect(now time.Time, d Daemon) (refute bool) {
	if d.ID == t.self.ID {
		return d.compareVersion(t.self) >= 0
	}
	e := t.others[d.ID]
	if e == nil || e.daemon.compareVersion(d) > 0 || !e.suspectedAt.IsZero() {
		return false
	}
	e.suspectedAt = now
	return false
}

// Refute makes this daemon's description newer than the one that is suspected.
func (t *Table) Refute() { t.self.Seq++ }

// ClearSuspicion ends the suspicion of a daemon that has just answered.
func (t *Table) ClearSuspicion(id string) {
	if e := t.others[id]; e != nil {
		e.suspectedAt = time.Time{}
	}
}

// Expire ejects the daemons that did not refute a suspicion within SuspicionTimeout, and
// removes expired tombstones.
func (t *Table) Expire(now time.Time) {
	for id, e := range t.others {
		if !e.suspectedAt.IsZero() && now.Sub(e.suspectedAt) >= SuspicionTimeout {
			t.tombstones[id] = tombstone{e.daemon, now.Add(tombstoneTTL)}
			delete(t.others, id)
		}
	}
	for id, ts := range t.tombstones {
		if now.After(ts.expiresAt) {
			delete(t.tombstones, id)
		}
	}
}

// Live returns the daemons that are up, including this one, ordered by ID.
func (t *Table) Live() []Daemon {
	out := []Daemon{t.self}
	for _, e := range t.others {
		out = append(out, e.daemon)
	}
	slices.SortFunc(out, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// NextProbe returns the next daemon to probe. Every other daemon is probed once per round,
// in random order. It returns false if no other daemon is known.
func (t *Table) NextProbe(rnd *rand.Rand) (Daemon, bool) {
	for range 2 {
		for len(t.probeQueue) > 0 {
			id := t.probeQueue[0]
			t.probeQueue = t.probeQueue[1:]
			if e := t.others[id]; e != nil {
				return e.daemon, true
			}
		}
		t.probeQueue = t.ids(rnd)
	}
	return Daemon{}, false
}

// Helpers returns up to k random other daemons that can be asked to probe another daemon.
// except is the ID of the daemon to probe, which is left out.
func (t *Table) Helpers(rnd *rand.Rand, k int, except string) []Daemon {
	var out []Daemon
	for _, id := range t.ids(rnd) {
		if id != except && len(out) < k {
			out = append(out, t.others[id].daemon)
		}
	}
	return out
}

// ids returns the IDs of the other daemons in random order.
func (t *Table) ids(rnd *rand.Rand) []string {
	out := make([]string, 0, len(t.others))
	for id := range t.others {
		out = append(out, id)
	}
	slices.Sort(out) // map order differs between runs with the same seed
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Hash returns a hash over the ID, epoch and sequence number of every live daemon.
// It is equal on daemons that hold the same descriptions.
func (t *Table) Hash() uint64 {
	var sum uint64
	for _, d := range t.Live() {
		sum ^= xxhash.Sum64String(d.ID + "/" + strconv.FormatInt(d.epoch(), 36) + "/" + strconv.FormatUint(d.Seq, 36))
	}
	return sum
}
