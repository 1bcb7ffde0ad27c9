package admission

import "math"

// level is start-time fair queueing over the flows of one class of work: of the
// accounts that wait, the one with the smallest start tag goes next, and its tag
// grows by cost over weight. An account that comes back after a pause starts at
// the virtual time: it neither gains nor loses by having been away.
type level struct {
	flows   map[string]*flow
	virtual float64 // start tag of what was dispatched last
	waiting int
}

func newLevel() *level {
	return &level{flows: map[string]*flow{}}
}

func (l *level) flow(account string, weight float64) *flow {
	f := l.flows[account]
	if f == nil {
		f = &flow{account: account, tag: l.virtual}
		l.flows[account] = f
	}
	f.weight = weight
	if weight <= 0 {
		f.weight = 1
	}
	return f
}

func (l *level) push(f *flow, r *Request) {
	if len(f.waiting) == 0 {
		f.tag = max(f.tag, l.virtual)
	}
	f.push(r)
	l.waiting++
}

// next is the flow that goes next; nil when none waits.
func (l *level) next() *flow {
	var best *flow
	for _, f := range l.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || f.tag < best.tag || (f.tag == best.tag && f.account < best.account) {
			best = f
		}
	}
	return best
}

func (l *level) pop(f *flow) *Request {
	r := f.pop()
	l.waiting--
	l.virtual = max(l.virtual, f.tag)
	f.tag += r.Cost / f.weight
	f.inFlight++
	return r
}

// done ends a request of f whose true cost differs from the estimate by over.
func (l *level) done(f *flow, over float64) {
	f.inFlight--
	f.tag += over / f.weight
	l.forget(f)
}

// forget drops a flow that has nothing to remember.
func (l *level) forget(f *flow) {
	if len(f.waiting) == 0 && f.inFlight == 0 && f.tag <= l.virtual {
		delete(l.flows, f.account)
	}
}

// settle drops idle flows; when all are idle, their tags have no meaning left.
func (l *level) settle() {
	oldest := math.Inf(1)
	for _, f := range l.flows {
		if len(f.waiting) > 0 || f.inFlight > 0 {
			oldest = min(oldest, f.tag)
		}
	}
	if math.IsInf(oldest, 1) {
		clear(l.flows)
		l.virtual = 0
		return
	}
	for _, f := range l.flows {
		l.forget(f)
	}
}

// share is the part of the level's work that f gets while all that wait now go
// on waiting.
func (l *level) share(f *flow) float64 {
	sum := f.weight
	for _, o := range l.flows {
		if o != f && len(o.waiting) > 0 {
			sum += o.weight
		}
	}
	return f.weight / sum
}
