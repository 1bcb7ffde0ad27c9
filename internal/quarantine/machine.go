package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Bounds of what is remembered.
const (
	// implications is the number of upstreams lost after which a request is
	// quarantined.
	implications = 2
	// suspicionTTL is how long a request stays suspect that is not sent again.
	suspicionTTL = 10 * time.Minute
	// quarantineTTL is how long a request stays quarantined. If it is sent
	// again after that it costs upstreams anew.
	quarantineTTL = 24 * time.Hour
	// maxRecords bounds the records of a daemon; the oldest go first.
	maxRecords = 10000
	// reservation bounds how long an upstream is kept for a suspect whose
	// entry says nothing more.
	reservation = 30 * time.Second
)

// Machine is the plain state machine of one daemon: which requests are suspect
// or quarantined, and which upstreams are kept for a suspect. The caller
// provides time and locking.
type Machine struct {
	records  map[string]Record
	reserved map[string]time.Time // until when, by upstream
}

// NewMachine returns an empty Machine.
func NewMachine() *Machine {
	return &Machine{records: map[string]Record{}, reserved: map[string]time.Time{}}
}

// Record returns what is known of a request; the zero Record is free of
// suspicion.
func (m *Machine) Record(now time.Time, fp string) Record {
	r, ok := m.records[fp]
	if !ok || now.Sub(r.Since) > r.lifetime() {
		return Record{Fingerprint: fp}
	}
	return r
}

// Died records that incarnation of an upstream died while it ran fp, and
// returns the record to share.
func (m *Machine) RecordCrash(now time.Time, fp, incarnation string) Record {
	r := m.Record(now, fp)
	n := r.join(Record{Epoch: r.Epoch, Upstreams: []string{incarnation}, Since: now})
	m.put(n)
	return n
}

// Cleared records that fp ran alone and did no harm, or that an operator
// releases it. False when there is nothing to clear.
func (m *Machine) Cleared(now time.Time, fp string) (Record, bool) {
	r := m.Record(now, fp)
	if len(r.Upstreams) == 0 {
		return r, false
	}
	n := Record{Fingerprint: fp, Epoch: r.Epoch + 1, Since: now}
	m.put(n)
	return n, true
}

// Merge takes in what another daemon knows and reports whether it was news.
func (m *Machine) Merge(now time.Time, o Record) bool {
	if now.Sub(o.Since) > o.lifetime() {
		return false
	}
	r := m.Record(now, o.Fingerprint)
	n := r.join(o)
	if n.equal(r) {
		return false
	}
	m.put(n)
	return true
}

// Reserve keeps an upstream for a suspect; Free ends that.
func (m *Machine) Reserve(now time.Time, upstream string) {
	m.reserved[upstream] = now.Add(reservation)
}

// Free lets other requests run on an upstream again.
func (m *Machine) Free(upstream string) { delete(m.reserved, upstream) }

// Reserved returns the upstreams that are kept for suspects.
func (m *Machine) Reserved(now time.Time) []string {
	var out []string
	for u, until := range m.reserved {
		if now.After(until) {
			delete(m.reserved, u)
			continue
		}
		out = append(out, u)
	}
	return out
}

// List returns the live records, oldest first, and forgets the others.
func (m *Machine) List(now time.Time) []Record {
	maps.DeleteFunc(m.records, func(_ string, r Record) bool { return now.Sub(r.Since) > r.lifetime() })
	return slices.SortedFunc(maps.Values(m.records), func(a, b Record) int { return a.Since.Compare(b.Since) })
}

func (m *Machine) put(r Record) {
	m.records[r.Fingerprint] = r
	if len(m.records) <= maxRecords {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.records)), func(a, b Record) int { return a.Since.Compare(b.Since) })
	delete(m.records, oldest.Fingerprint)
}
