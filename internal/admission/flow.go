package admission

import (
	"slices"
)

// flow holds the requests of one client account in a Queue.
type flow struct {
	account  string
	weight   float64
	startTag float64 // start tag of the next request, in cost divided by weight
	inFlight int
	waiting  []*Request // in the order of admission
}

func (f *flow) push(r *Request) {
	at, _ := slices.BinarySearchFunc(f.waiting, r, (*Request).compare)
	f.waiting = slices.Insert(f.waiting, at, r)
}

func (f *flow) remove(r *Request) bool {
	at, ok := slices.BinarySearchFunc(f.waiting, r, (*Request).compare)
	if ok {
		f.waiting = slices.Delete(f.waiting, at, at+1)
	}
	return ok
}

func (f *flow) pop() *Request {
	r := f.waiting[0]
	f.waiting = slices.Delete(f.waiting, 0, 1)
	return r
}

// costAhead returns the total cost of the queued requests that precede r.
func (f *flow) costAhead(r *Request) float64 {
	sum := 0.0
	for _, w := range f.waiting {
		if w.compare(r) >= 0 {
			break
		}
		sum += w.Cost
	}
	return sum
}
