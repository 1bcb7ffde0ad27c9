package admission

import "math"

// priorityLevel implements start-time fair queueing over the flows of one class of work.
// Of the accounts with queued requests, the one with the smallest start tag is next, and
// its tag grows by the cost of the request divided by the weight of the account. When an
// account becomes active again, its start tag is raised to at least the virtual time, so
// it neither gains nor loses by having been idle.
type priorityLevel struct {
	flows       map[string]*flow
	virtualTime float64 // largest start tag of the requests admitted so far
	waiting     int
}

func newPriorityLevel() *priorityLevel {
	return &priorityLevel{flows: map[string]*flow{}}
}

// flow returns the flow of an account and sets its weight.
func (l *priorityLevel) flow(account string, weight float64) *flow {
	f := l.flows[account]
	if f == nil {
		f = &flow{account: account, startTag: l.virtualTime}
		l.flows[account] = f
	}
	f.weight = weight
	if weight <= 0 {
		f.weight = 1
	}
	return f
}

func (l *priorityLevel) push(f *flow, r *Request) {
	if len(f.waiting) == 0 {
		f.startTag = max(f.startTag, l.virtualTime)
	}
	f.push(r)
	l.waiting++
}

// next returns the flow whose request is admitted next, or nil if no request is queued.
func (l *priorityLevel) next() *flow {
	var best *flow
	for _, f := range l.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || f.startTag < best.startTag || (f.startTag == best.startTag && f.account < best.account) {
			best = f
		}
	}
	return best
}

func (l *priorityLevel) pop(f *flow) *Request {
	r := f.pop()
	l.waiting--
	l.virtualTime = max(l.virtualTime, f.startTag)
	f.startTag += r.Cost / f.weight
	f.inFlight++
	return r
}

// done ends a request of f whose actual cost exceeds its estimate by excess.
func (l *priorityLevel) done(f *flow, excess float64) {
	f.inFlight--
	f.startTag += excess / f.weight
	l.removeIfIdle(f)
}

// removeIfIdle removes f if it has no requests and its start tag is not ahead of the
// virtual time. Nothing is lost then, because a new flow starts at the virtual time.
func (l *priorityLevel) removeIfIdle(f *flow) {
	if len(f.waiting) == 0 && f.inFlight == 0 && f.startTag <= l.virtualTime {
		delete(l.flows, f.account)
	}
}

// removeIdle removes idle flows. If all flows are idle, their tags are no longer needed
// and the virtual time is reset.
func (l *priorityLevel) removeIdle() {
	smallest := math.Inf(1)
	for _, f := range l.flows {
		if len(f.waiting) > 0 || f.inFlight > 0 {
			smallest = min(smallest, f.startTag)
		}
	}
	if math.IsInf(smallest, 1) {
		clear(l.flows)
		l.virtualTime = 0
		return
	}
	for _, f := range l.flows {
		l.removeIfIdle(f)
	}
}

// share returns the part of this level's work that f gets while all accounts with queued
// requests stay active.
func (l *priorityLevel) share(f *flow) float64 {
	sum := f.weight
	for _, o := range l.flows {
		if o != f && len(o.waiting) > 0 {
			sum += o.weight
		}
	}
	return f.weight / sum
}
