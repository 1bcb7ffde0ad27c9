package admission

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Bounds of a Queue.
const (
	// maxQueued bounds the waiting requests of one account.
	maxQueued = 512
	// backgroundShare is the part of the work that background requests get even
	// while callers wait, so that a trainer is slowed down but never starved.
	backgroundShare = 0.1
	// minRetry and maxRetry bound the come-back time of a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Queue is the admission of one service at one entry: a plain state machine.
// Callers come before background work; accounts of a class share by weight.
type Queue struct {
	callers    *level
	background *level
	owed       float64 // cost that background work may take from callers
	slots      int
	inFlight   int
	seq        uint64
	pace       pace
}

// NewQueue returns an empty queue without slots.
func NewQueue() *Queue {
	return &Queue{callers: newLevel(), background: newLevel()}
}

// Refusal is a waiting request that was given up.
type Refusal struct {
	Request *Request
	Err     error
}

func (q *Queue) level(priority int) *level {
	if priority >= BackgroundPriority {
		return q.background
	}
	return q.callers
}

// Waiting counts the requests that wait.
func (q *Queue) Waiting() int { return q.callers.waiting + q.background.waiting }

// InFlight counts the requests admitted and not done.
func (q *Queue) InFlight() int { return q.inFlight }

// Slots sets how many requests may be in flight.
func (q *Queue) Slots(n int) { q.slots = n }

// Offer takes a request in, or refuses it with Overloaded or DeadlineUnmet and
// the time after which to come back. Call Next afterwards.
func (q *Queue) Offer(now time.Time, t RequestInfo) (*Request, error) {
	l := q.level(t.Priority)
	f := l.flow(t.Account, t.Weight)
	t.Cost = max(t.Cost, 1)
	q.seq++
	r := &Request{RequestInfo: t, seq: q.seq}
	free := q.inFlight < q.slots && q.Waiting() == 0
	if !free {
		if err := q.refuse(now, l, f, r); err != nil {
			l.forget(f)
			return nil, err
		}
	}
	l.push(f, r)
	return r, nil
}

func (q *Queue) refuse(now time.Time, l *level, f *flow, r *Request) error {
	if len(f.waiting) >= maxQueued {
		all := f.ahead(&Request{RequestInfo: RequestInfo{Priority: r.Priority}, seq: r.seq})
		return result.NewRetryAfter(result.Overloaded, q.retry(all, l, f)/2, "%d requests of account %q wait", len(f.waiting), f.account)
	}
	return q.unmet(now, l, f, r, f.ahead(r))
}

// unmet returns DeadlineUnmet when r cannot end in time behind the cost ahead.
func (q *Queue) unmet(now time.Time, l *level, f *flow, r *Request, ahead float64) error {
	if r.Deadline.IsZero() {
		return nil
	}
	end := now.Add(q.pace.drain(ahead, l.share(f), q.slots) + q.pace.alone(r.Cost))
	late := end.Sub(r.Deadline)
	if late <= 0 {
		return nil
	}
	return result.NewRetryAfter(result.DeadlineUnmet, clampRetry(late), "the request would end %v after its deadline", late.Round(time.Millisecond))
}

func (q *Queue) retry(ahead float64, l *level, f *flow) time.Duration {
	return clampRetry(q.pace.drain(ahead, l.share(f), q.slots))
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetry), maxRetry)
}

// Next admits the next request; nil when none waits or no slot is free.
func (q *Queue) Next(now time.Time) *Request {
	if q.inFlight >= q.slots {
		return nil
	}
	l, f := q.choose()
	if f == nil {
		return nil
	}
	r := l.pop(f)
	q.charge(l, r.Cost)
	q.inFlight++
	r.began = now
	return r
}

// choose takes callers first, and background work when no caller waits or when
// it is owed its share.
func (q *Queue) choose() (*level, *flow) {
	caller, back := q.callers.next(), q.background.next()
	if caller == nil || (back != nil && q.owed >= back.waiting[0].Cost) {
		return q.background, back
	}
	return q.callers, caller
}

// charge keeps what background work is owed; nothing is saved up while none
// waits.
func (q *Queue) charge(l *level, cost float64) {
	switch {
	case l == q.background:
		q.owed = max(0, q.owed-cost)
	case q.background.waiting > 0:
		q.owed += cost * backgroundShare / (1 - backgroundShare)
	default:
		q.owed = 0
	}
}

// Cancel takes a waiting request out; false when it does not wait.
func (q *Queue) Cancel(r *Request) bool {
	l := q.level(r.Priority)
	f := l.flows[r.Account]
	if f == nil || !f.remove(r) {
		return false
	}
	l.waiting--
	l.forget(f)
	return true
}

// Done ends an admitted request with its measured cost, see actualCost. Call it
// once.
func (q *Queue) Done(now time.Time, r *Request, cost float64) {
	l := q.level(r.Priority)
	q.inFlight--
	used, measured := actualCost(cost, r.Cost)
	if measured {
		q.pace.take(r.Cost, now.Sub(r.began))
	}
	if f := l.flows[r.Account]; f != nil {
		l.done(f, used-r.Cost)
	}
	if q.Waiting() == 0 && q.inFlight == 0 {
		q.callers.settle()
		q.background.settle()
	}
}

// Sweep gives up the waiting requests that can no longer end in time.
func (q *Queue) Sweep(now time.Time) []Refusal {
	var out []Refusal
	for _, l := range []*level{q.callers, q.background} {
		for _, f := range l.flows {
			out = append(out, q.sweep(now, l, f)...)
		}
	}
	for _, x := range out {
		q.Cancel(x.Request)
	}
	return out
}

func (q *Queue) sweep(now time.Time, l *level, f *flow) []Refusal {
	var out []Refusal
	ahead := 0.0
	for _, r := range f.waiting {
		if err := q.unmet(now, l, f, r, ahead); err != nil {
			out = append(out, Refusal{r, err})
			continue
		}
		ahead += r.Cost
	}
	return out
}
