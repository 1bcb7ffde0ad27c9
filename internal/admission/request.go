package admission

import (
	"cmp"
	"time"
)

// Request is a request that is queued or admitted by a Queue.
type Request struct {
	RequestInfo
	seq        uint64 // order of arrival
	admittedAt time.Time
}

// compare orders the requests of an account by priority, deadline and arrival. A request
// without a deadline sorts after those that have one.
func (r *Request) compare(o *Request) int {
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
