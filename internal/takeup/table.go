package takeup

import (
	"container/list"
	"time"
	"unique"

	"github.com/apricotstream/apricotstream/internal/origin"
)

// maxRecords bounds the memory of a table, with about 220 bytes for each record. It is several
// times the number of streams that a daemon of a large deployment carries or keeps.
const maxRecords = 1 << 15

// Table holds records. It is a pure state machine: the caller provides the time and the
// locking. When it is full, the account with most records loses its oldest one, so that a
// flood of request ids costs only the account that sends them.
type Table struct {
	limit    int
	byKey    map[Key]*list.Element // values are *Record
	accounts map[uint64]*list.List // records of an account, oldest first
}

// NewTable returns a Table for at most limit records.
func NewTable(limit int) *Table {
	return &Table{limit: limit, byKey: map[Key]*list.Element{}, accounts: map[uint64]*list.List{}}
}

// Add adds a record and returns it as it is kept. If there is one of the stream already, it is
// kept for the longer of both times. If the two name different origins, the id was used for
// two streams, and the origin becomes unknown.
func (t *Table) Add(r Record) Record {
	if e, ok := t.byKey[r.Key]; ok {
		old := e.Value.(*Record)
		if old.Origin != r.Origin {
			old.ambiguous()
		}
		if r.Until.After(old.Until) {
			old.Until = r.Until
		}
		return *old
	}
	r.Origin = origin.Origin{Service: shared(r.Origin.Service), Software: shared(r.Origin.Software)}
	r.Upstream = shared(r.Upstream)
	l := t.accounts[r.Account]
	if l == nil {
		l = list.New()
		t.accounts[r.Account] = l
	}
	t.byKey[r.Key] = l.PushBack(&r)
	if len(t.byKey) > t.limit {
		t.evict()
	}
	return r
}

// shared returns a copy of s that all records with the same text share.
func shared(s string) string { return unique.Make(s).Value() }

// evict removes the oldest record of the account that has most.
func (t *Table) evict() {
	var most *list.List
	for _, l := range t.accounts {
		if most == nil || l.Len() > most.Len() {
			most = l
		}
	}
	t.remove(most.Front())
}

func (t *Table) remove(e *list.Element) {
	r := e.Value.(*Record)
	l := t.accounts[r.Account]
	l.Remove(e)
	if l.Len() == 0 {
		delete(t.accounts, r.Account)
	}
	delete(t.byKey, r.Key)
}

// Get returns the record of a stream.
func (t *Table) Get(now time.Time, k Key) (Record, bool) {
	e, ok := t.byKey[k]
	if !ok || now.After(e.Value.(*Record).Until) {
		return Record{}, false
	}
	return *e.Value.(*Record), true
}

// Expire removes the records whose time is over.
func (t *Table) Expire(now time.Time) {
	for _, e := range t.byKey {
		if now.After(e.Value.(*Record).Until) {
			t.remove(e)
		}
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.byKey) }
