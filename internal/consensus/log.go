package consensus

import "slices"

// log holds the entries after a snapshot. entries[0] has index first.
type log struct {
	snapshot SnapshotMeta
	entries  []Entry
	changes  []memberChange // those among entries, in order
	stable   uint64         // last index handed out in Ready and advanced over
}

// memberChange is a decoded EntryMembership.
type memberChange struct {
	index   uint64
	members Membership
}

func (l *log) first() uint64 { return l.snapshot.Index + 1 }

func (l *log) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index i; false when i is compacted or beyond.
func (l *log) term(i uint64) (uint64, bool) {
	if i == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if i < l.first() || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.first()].Term, true
}

// slice returns entries from index i on: at most limit, and no more after their
// data adds up to maxBytes.
func (l *log) slice(i uint64, limit, maxBytes int) []Entry {
	if i < l.first() || i > l.last() {
		return nil
	}
	s := l.entries[i-l.first():]
	if len(s) > limit {
		s = s[:limit]
	}
	sum := 0
	for k := range s {
		sum += len(s[k].Data)
		if sum >= maxBytes {
			s = s[:k+1]
			break
		}
	}
	return append([]Entry(nil), s...)
}

// bytes adds up the data of the entries from index i until before end.
func (l *log) bytes(i, end uint64) int {
	sum := 0
	for k := max(i, l.first()); k < end && k <= l.last(); k++ {
		sum += len(l.entries[k-l.first()].Data)
	}
	return sum
}

func (l *log) append(es ...Entry) {
	l.entries = append(l.entries, es...)
	for _, e := range es {
		if e.Kind != EntryMembership {
			continue
		}
		if m, err := DecodeMembership(e.Data); err == nil {
			l.changes = append(l.changes, memberChange{e.Index, m})
		}
	}
}

// membersAt returns the membership as of index i; callers must not change it.
func (l *log) membersAt(i uint64) Membership {
	m := l.snapshot.Members
	for _, c := range l.changes {
		if c.index <= i {
			m = c.members
		}
	}
	return m
}

// lastChange is the index of the newest membership entry, or of the snapshot.
func (l *log) lastChange() uint64 {
	if k := len(l.changes); k > 0 {
		return l.changes[k-1].index
	}
	return l.snapshot.Index
}

// truncate drops index i and all after it.
func (l *log) truncate(i uint64) {
	l.entries = append([]Entry(nil), l.entries[:i-l.first()]...)
	l.changes = slices.DeleteFunc(l.changes, func(c memberChange) bool { return c.index >= i })
	l.stable = min(l.stable, i-1)
}

// compact forgets the entries up to and including the snapshot.
func (l *log) compact(meta SnapshotMeta) {
	if meta.Index <= l.snapshot.Index {
		return
	}
	if meta.Index >= l.last() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[meta.Index+1-l.first():]...)
	}
	l.changes = slices.DeleteFunc(l.changes, func(c memberChange) bool { return c.index <= meta.Index })
	l.snapshot = meta
	l.stable = max(l.stable, meta.Index)
}

// upToDate reports whether a log ending in (index, term) is at least as new.
func (l *log) upToDate(index, term uint64) bool {
	lt := l.lastTerm()
	return term > lt || (term == lt && index >= l.last())
}
