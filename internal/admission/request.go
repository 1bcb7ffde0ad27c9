package admission

import (
	"cmp"
	"time"
)

// Request is a ticket in a Queue.
type Request struct {
	RequestInfo
	seq   uint64    // order of arrival
	began time.Time // when it was admitted
}

// before is the order inside an account: priority, deadline, arrival. No
// deadline is the latest one.
func (r *Request) before(o *Request) int {
	return cmp.Or(cmp.Compare(r.Priority, o.Priority), compareDeadlines(r.Deadline, o.Deadline), cmp.Compare(r.seq, o.seq))
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}
