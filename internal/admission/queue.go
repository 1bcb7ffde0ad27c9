package admission

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Limits of a Queue.
const (
	// maxQueuedPerAccount is the largest number of queued requests of one account.
	maxQueuedPerAccount = 512
	// backgroundShare is the part of the work that background requests get even while
	// requests of callers are queued, so that a trainer is slowed down but not starved.
	backgroundShare = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay returned with a rejection.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Queue decides the admission to one service at one entry. It is a pure state machine.
// Requests of callers precede background work; within each of these levels the accounts
// share by weight.
type Queue struct {
	callers          *priorityLevel
	background       *priorityLevel
	backgroundCredit float64 // cost that background work may use before callers
	slots            int
	inFlight         int
	seq              uint64
	serviceTime      serviceTime
}

// NewQueue returns an empty queue that has no slots.
func NewQueue() *Queue {
	return &Queue{callers: newPriorityLevel(), background: newPriorityLevel()}
}

// Rejection is a queued request that was rejected, with the error.
type Rejection struct {
	Request *Request
	Err     error
}

func (q *Queue) priorityLevel(priority int) *priorityLevel {
	if priority >= BackgroundPriority {
		return q.background
	}
	return q.callers
}

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return q.callers.waiting + q.background.waiting }

// InFlight returns the number of requests that were admitted and have not ended.
func (q *Queue) InFlight() int { return q.inFlight }

// Slots sets how many requests may be in flight.
func (q *Queue) Slots(n int) { q.slots = n }

// Enqueue adds a request to the queue, or rejects it with Overloaded or DeadlineUnmet and
// a retry delay. The caller must call Next afterwards.
func (q *Queue) Enqueue(now time.Time, info RequestInfo) (*Request, error) {
	l := q.priorityLevel(info.Priority)
	f := l.flow(info.Account, info.Weight)
	info.Cost = max(info.Cost, 1)
	q.seq++
	r := &Request{RequestInfo: info, seq: q.seq}
	free := q.inFlight < q.slots && q.Waiting() == 0
	if !free {
		if err := q.checkAdmissible(now, l, f, r); err != nil {
			l.removeIfIdle(f)
			return nil, err
		}
	}
	l.push(f, r)
	return r, nil
}

// checkAdmissible returns an error if r must be rejected on arrival: Overloaded if its
// account has too many queued requests, DeadlineUnmet if it cannot end in time.
func (q *Queue) checkAdmissible(now time.Time, l *priorityLevel, f *flow, r *Request) error {
	if len(f.waiting) >= maxQueuedPerAccount {
		ahead := f.costAhead(&Request{RequestInfo: RequestInfo{Priority: r.Priority}, seq: r.seq})
		return result.NewRetryAfter(result.Overloaded, q.retryAfter(ahead, l, f)/2, "%d requests of account %q are queued", len(f.waiting), f.account)
	}
	return q.checkDeadline(now, l, f, r, f.costAhead(r))
}

// checkDeadline returns DeadlineUnmet if r cannot end by its deadline. ahead is the total
// cost of the requests of its account that are admitted before r.
func (q *Queue) checkDeadline(now time.Time, l *priorityLevel, f *flow, r *Request, ahead float64) error {
	if r.Deadline.IsZero() {
		return nil
	}
	end := now.Add(q.serviceTime.queueDelay(ahead, l.share(f), q.slots) + q.serviceTime.estimate(r.Cost))
	late := end.Sub(r.Deadline)
	if late <= 0 {
		return nil
	}
	return result.NewRetryAfter(result.DeadlineUnmet, clampRetryAfter(late), "the request would end %v after its deadline", late.Round(time.Millisecond))
}

// retryAfter returns the expected delay of a request of f in the queue, bounded by
// minRetryAfter and maxRetryAfter. ahead is the total cost of the requests of f that are
// admitted before it.
func (q *Queue) retryAfter(ahead float64, l *priorityLevel, f *flow) time.Duration {
	return clampRetryAfter(q.serviceTime.queueDelay(ahead, l.share(f), q.slots))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Next admits the next request. It returns nil if no request is queued or no slot is
// free.
func (q *Queue) Next(now time.Time) *Request {
	if q.inFlight >= q.slots {
		return nil
	}
	l, f := q.nextFlow()
	if f == nil {
		return nil
	}
	r := l.pop(f)
	q.updateBackgroundCredit(l, r.Cost)
	q.inFlight++
	r.admittedAt = now
	return r
}

// nextFlow returns the flow that is served next and its level. Requests of callers are
// first. Background work is served if no caller waits or if its credit covers its next
// request.
func (q *Queue) nextFlow() (*priorityLevel, *flow) {
	caller, back := q.callers.next(), q.background.next()
	if caller == nil || (back != nil && q.backgroundCredit >= back.waiting[0].Cost) {
		return q.background, back
	}
	return q.callers, caller
}

// updateBackgroundCredit adjusts the credit of background work for an admitted request of
// level l. The credit is reset when a request of a caller is admitted while no background
// request is queued.
func (q *Queue) updateBackgroundCredit(l *priorityLevel, cost float64) {
	switch {
	case l == q.background:
		q.backgroundCredit = max(0, q.backgroundCredit-cost)
	case q.background.waiting > 0:
		q.backgroundCredit += cost * backgroundShare / (1 - backgroundShare)
	default:
		q.backgroundCredit = 0
	}
}

// Cancel removes a queued request. It returns false if r is not queued.
func (q *Queue) Cancel(r *Request) bool {
	l := q.priorityLevel(r.Priority)
	f := l.flows[r.Account]
	if f == nil || !f.remove(r) {
		return false
	}
	l.waiting--
	l.removeIfIdle(f)
	return true
}

// Done ends an admitted request with its measured cost in tokens, see actualCost. It must
// be called once.
func (q *Queue) Done(now time.Time, r *Request, cost float64) {
	l := q.priorityLevel(r.Priority)
	q.inFlight--
	used, measured := actualCost(cost, r.Cost)
	if measured {
		q.serviceTime.record(r.Cost, now.Sub(r.admittedAt))
	}
	if f := l.flows[r.Account]; f != nil {
		l.done(f, used-r.Cost)
	}
	if q.Waiting() == 0 && q.inFlight == 0 {
		q.callers.removeIdle()
		q.background.removeIdle()
	}
}

// RejectOverdue removes the queued requests that can no longer end by their deadlines, and
// returns their rejections.
func (q *Queue) RejectOverdue(now time.Time) []Rejection {
	var rejected []Rejection
	for _, l := range []*priorityLevel{q.callers, q.background} {
		for _, f := range l.flows {
			rejected = append(rejected, q.overdue(now, l, f)...)
		}
	}
	for _, x := range rejected {
		q.Cancel(x.Request)
	}
	return rejected
}

// overdue returns rejections of the queued requests of f that can no longer end by their
// deadlines.
func (q *Queue) overdue(now time.Time, l *priorityLevel, f *flow) []Rejection {
	var rejected []Rejection
	ahead := 0.0
	for _, r := range f.waiting {
		if err := q.checkDeadline(now, l, f, r, ahead); err != nil {
			rejected = append(rejected, Rejection{r, err})
			continue
		}
		ahead += r.Cost
	}
	return rejected
}
