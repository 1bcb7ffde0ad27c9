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
	// AllRegions is set if daemons of other regions are recorded too.
	AllRegions bool

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
// the known one. It ignores descriptions from other regions unless AllRegions is set, older
// descriptions, and those that a tombstone covers. If d has the version that is already known, it only
// updates InFlight, and adds what a daemon of an older build has left out on the way.
func (t *Table) Merge(now time.Time, d Daemon) bool {
	if d.ID == t.self.ID || d.Region != t.self.Region && !t.AllRegions {
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
		old.daemon.Overloaded = old.daemon.Overloaded || d.Overloaded
		if old.daemon.Capacity == (Capacity{}) {
			old.daemon.Capacity = d.Capacity
		}
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

// successors is the number of daemons that a daemon of a large deployment probes. They are
// its successors in the order of the hashes of the IDs, which spreads the daemons of an
// availability zone: a daemon remains unobserved only if all those that probe it are lost
// at the same time. Each of them is probed every few seconds.
const successors = 8

// NextProbe returns the next daemon to probe. Every other daemon, or with more than
// maxDirect of them every one of its successors, is probed once per round, in random order.
// It returns false if no other daemon is known.
func (t *Table) NextProbe(rnd *rand.Rand, maxDirect int) (Daemon, bool) {
	for range 2 {
		for len(t.probeQueue) > 0 {
			id := t.probeQueue[0]
			t.probeQueue = t.probeQueue[1:]
			if e := t.others[id]; e != nil {
				return e.daemon, true
			}
		}
		t.probeQueue = t.ids(rnd)
		if len(t.probeQueue) > maxDirect {
			t.probeQueue = t.successorsOf(t.probeQueue)
		}
	}
	return Daemon{}, false
}

// successorsOf returns those of ids that follow this daemon in the order of their hashes.
func (t *Table) successorsOf(ids []string) []string {
	own := xxhash.Sum64String(t.self.ID)
	distance := map[string]uint64{} // wraps around
	for _, id := range ids {
		distance[id] = xxhash.Sum64String(id) - own
	}
	near := slices.SortedFunc(slices.Values(ids), func(a, b string) int { return cmp.Compare(distance[a], distance[b]) })
	near = near[:successors]
	return slices.DeleteFunc(ids, func(id string) bool { return !slices.Contains(near, id) })
}

// ProbeFirst puts the daemons for which missing returns true at the front of the queue of
// probes.
func (t *Table) ProbeFirst(missing func(id string) bool) {
	var first []string
	for id := range t.others {
		if missing(id) && !slices.Contains(t.probeQueue[:min(len(t.probeQueue), maxProbeFirst)], id) {
			first = append(first, id)
		}
	}
	slices.Sort(first)
	t.probeQueue = append(first[:min(len(first), maxProbeFirst)], t.probeQueue...)
	t.probeQueue = t.probeQueue[:min(len(t.probeQueue), len(t.others))]
}

// maxProbeFirst bounds the daemons that ProbeFirst puts in front at once. The next
// comparison of tables finds the others.
const maxProbeFirst = 8

// Get returns the description of another daemon that is up.
func (t *Table) Get(id string) (Daemon, bool) {
	if e := t.others[id]; e != nil {
		return e.daemon, true
	}
	return Daemon{}, false
}

// suspects reports whether the daemon is suspected.
func (t *Table) suspects(id string) bool {
	e := t.others[id]
	return e != nil && !e.suspectedAt.IsZero()
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
