package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Limits of the records.
const (
	// quarantineThreshold is the number of crashes after which a request is quarantined.
	// Each incarnation of an upstream counts once.
	quarantineThreshold = 2
	// lateQuarantineThreshold is the number of crashes of any kind after which a request is
	// quarantined. A request that has run for long before a crash is less likely its cause.
	lateQuarantineThreshold = 3
	// suspicionTTL is how long a request stays suspect after its last crash.
	suspicionTTL = 10 * time.Minute
	// quarantineTTL is how long a request stays quarantined after its last crash. If it
	// is sent again later, it may crash upstreams again.
	quarantineTTL = 24 * time.Hour
	// maxRecords is the largest number of records of a daemon. The oldest records are
	// evicted first.
	maxRecords = 10000
	// reservationTTL is how long an upstream stays reserved for a suspect request if the
	// entry of the request does not free it.
	reservationTTL = 30 * time.Second
)

// StateMachine tracks for one daemon which requests are suspect or quarantined, and which
// upstreams are reserved for suspect requests. It is a pure state machine: the caller
// provides the time and the locking.
type StateMachine struct {
	records  map[string]Record
	reserved reservations
}

// NewStateMachine returns an empty StateMachine.
func NewStateMachine() *StateMachine {
	return &StateMachine{records: map[string]Record{}, reserved: reservations{byUpstream: map[string]reservationState{}}}
}

// Record returns the record of a request. The record has no crashes if the
// request is unknown or its record has expired.
func (m *StateMachine) Record(now time.Time, fp string) Record {
	r, ok := m.records[fp]
	if !ok || now.Sub(r.Since) > r.ttl() {
		return Record{Fingerprint: fp}
	}
	return r
}

// RecordCrash records that an incarnation of an upstream crashed while it ran the request
// fp. It returns the record to send to the other daemons.
func (m *StateMachine) RecordCrash(now time.Time, fp, incarnation string) Record {
	r := m.Record(now, fp)
	n := r.merge(Record{Epoch: r.Epoch, Upstreams: []string{incarnation}, Since: now})
	m.store(n)
	return n
}

// RecordLateCrash records that an incarnation of an upstream crashed after it had run the request
// fp for long. It returns the record to send to the other daemons.
func (m *StateMachine) RecordLateCrash(now time.Time, fp string, c LateCrash) Record {
	r := m.Record(now, fp)
	n := r.merge(Record{Epoch: r.Epoch, Late: []LateCrash{c}, Since: now})
	m.store(n)
	return n
}

// Clear clears fp because it ran alone without a crash, or because an operator releases
// it. It returns the record to send to the other daemons, or false if there is nothing to
// clear.
func (m *StateMachine) Clear(now time.Time, fp string) (Record, bool) {
	r := m.Record(now, fp)
	if !r.Crashed() {
		return r, false
	}
	n := Record{Fingerprint: fp, Epoch: r.Epoch + 1, Since: now}
	m.store(n)
	return n, true
}

// Merge merges a record of another daemon and reports whether it changed anything.
func (m *StateMachine) Merge(now time.Time, o Record) bool {
	if now.Sub(o.Since) > o.ttl() {
		return false
	}
	r := m.Record(now, o.Fingerprint)
	n := r.merge(o)
	if n.equal(r) {
		return false
	}
	m.store(n)
	return true
}

// Reserve adds a reservation of this daemon. It returns false if the upstream is reserved
// already.
func (m *StateMachine) Reserve(now time.Time, r Reservation) bool {
	return m.reserved.holder(now, r.Upstream) == "" && m.reserved.merge(now, r)
}

// MergeReservation adds a reservation of another daemon, see reservations.merge.
func (m *StateMachine) MergeReservation(now time.Time, r Reservation) bool {
	return m.reserved.merge(now, r)
}

// Holds reports whether the owner of r has the upstream. A reservation of another daemon
// may have replaced it.
func (m *StateMachine) Holds(now time.Time, r Reservation) bool {
	return m.reserved.holder(now, r.Upstream) == r.Owner
}

// Free ends a reservation.
func (m *StateMachine) Free(r Reservation) { m.reserved.free(r) }

// Reserved returns the upstreams that are reserved for suspect requests.
func (m *StateMachine) Reserved(now time.Time) []string { return m.reserved.list(now) }

// List returns the records that have not expired, oldest first, and removes the others.
func (m *StateMachine) List(now time.Time) []Record {
	maps.DeleteFunc(m.records, func(_ string, r Record) bool { return now.Sub(r.Since) > r.ttl() })
	return slices.SortedFunc(maps.Values(m.records), func(a, b Record) int { return a.Since.Compare(b.Since) })
}

// store stores r and evicts the oldest record if there are too many.
func (m *StateMachine) store(r Record) {
	m.records[r.Fingerprint] = r
	if len(m.records) <= maxRecords {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.records)), func(a, b Record) int { return a.Since.Compare(b.Since) })
	delete(m.records, oldest.Fingerprint)
}
