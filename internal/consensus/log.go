package consensus

import (
	"math"
	"slices"
)

// log holds the log entries after a snapshot. entries[0] has index firstIndex().
type log struct {
	snapshot          SnapshotMeta
	entries           []Entry
	membershipChanges []membershipChange // the membership changes among entries, in order
	stable            uint64             // index of the last durable entry, as reported by Advance
}

// membershipChange is a decoded entry of kind EntryMembership.
type membershipChange struct {
	index   uint64
	members Membership
}

func (l *log) firstIndex() uint64 { return l.snapshot.Index + 1 }

func (l *log) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term at index i. It returns false if i is compacted or after the
// last entry.
func (l *log) term(i uint64) (uint64, bool) {
	if i == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if i < l.firstIndex() || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.firstIndex()].Term, true
}

// slice returns a copy of the entries from index i on: at most limit entries, up to and
// including the entry at which their total data size reaches maxBytes.
func (l *log) slice(i uint64, limit, maxBytes int) []Entry {
	if i < l.firstIndex() || i > l.lastIndex() {
		return nil
	}
	s := l.entries[i-l.firstIndex():]
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

// dataBytes returns the total data size of the entries from index i up to, but not
// including, end.
func (l *log) dataBytes(i, end uint64) int {
	sum := 0
	for k := max(i, l.firstIndex()); k < end && k <= l.lastIndex(); k++ {
		sum += len(l.entries[k-l.firstIndex()].Data)
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
			l.membershipChanges = append(l.membershipChanges, membershipChange{e.Index, m})
		}
	}
}

// membersAt returns the membership as of index i. Callers must not modify it.
func (l *log) membersAt(i uint64) Membership {
	m := l.snapshot.Members
	for _, c := range l.membershipChanges {
		if c.index <= i {
			m = c.members
		}
	}
	return m
}

// lastChangeIndex returns the index of the newest membership entry, or that of the
// snapshot if there is none.
func (l *log) lastChangeIndex() uint64 {
	if k := len(l.membershipChanges); k > 0 {
		return l.membershipChanges[k-1].index
	}
	return l.snapshot.Index
}

// truncate removes the entry at index i and all entries after it.
func (l *log) truncate(i uint64) {
	l.entries = append([]Entry(nil), l.entries[:i-l.firstIndex()]...)
	l.membershipChanges = slices.DeleteFunc(l.membershipChanges, func(c membershipChange) bool { return c.index >= i })
	l.stable = min(l.stable, i-1)
}

// compact discards the entries up to and including the snapshot's index. It does nothing
// if the log starts from the same or a newer snapshot.
func (l *log) compact(meta SnapshotMeta) {
	if meta.Index <= l.snapshot.Index {
		return
	}
	if meta.Index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[meta.Index+1-l.firstIndex():]...)
	}
	l.membershipChanges = slices.DeleteFunc(l.membershipChanges, func(c membershipChange) bool { return c.index <= meta.Index })
	l.snapshot = meta
	l.stable = max(l.stable, meta.Index)
}

// upToDate reports whether a log whose last entry is (index, term) is at least as new as
// this one.
func (l *log) upToDate(index, term uint64) bool {
	lt := l.lastTerm()
	return term > lt || (term == lt && index >= l.lastIndex())
}

// MembersAt returns a copy of the membership as of index i, which must not be compacted.
func (n *Node) MembersAt(i uint64) Membership {
	return n.log.membersAt(i).Clone()
}

// TermAt returns the term of the entry at index i. It returns false if i is compacted or
// after the last entry.
func (n *Node) TermAt(i uint64) (uint64, bool) {
	return n.log.term(i)
}

// EntriesAfter returns a copy of the log entries after index i.
func (n *Node) EntriesAfter(i uint64) []Entry {
	return n.log.slice(i+1, int(n.log.lastIndex()-i), math.MaxInt)
}
