package admission

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Slots returns how many requests of a service this entry may have in flight,
// given the current number. 0 means that the service has no upstream.
type Slots interface {
	Slots(service string, inFlight int) int
}

// noSlotRetry is the Retry-After when the service has no upstream.
const noSlotRetry = time.Second

// Fair runs a Queue for each service.
type FairAdmitter struct {
	slots Slots

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	queue   *Queue
	waiters map[*Request]chan error // gets nil when admitted
}

// NewFair returns an admitter over slots. Call Tick at a steady pace.
func NewFairAdmitter(slots Slots) *FairAdmitter {
	return &FairAdmitter{slots: slots, services: map[string]*service{}}
}

// Admit implements Admitter. Errors: Overloaded and DeadlineUnmet with the time
// after which to come back, NoUpstream, or the error of ctx.
func (f *FairAdmitter) Admit(ctx context.Context, t RequestInfo) (func(float64), error) {
	began := time.Now()
	r, turn, err := f.offer(t)
	if err != nil {
		return nil, CountRejection(t, err)
	}
	select {
	case err = <-turn:
	case <-ctx.Done():
		err = f.abandon(t.Service, r, turn, ctx.Err())
	}
	if err != nil {
		return nil, CountRejection(t, err)
	}
	waited(t, time.Since(began))
	var once sync.Once
	return func(cost float64) {
		once.Do(func() {
			served(t, cost)
			f.done(t.Service, r, cost)
		})
	}, nil
}

func (f *FairAdmitter) offer(t RequestInfo) (*Request, chan error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(t.Service)
	f.size(t.Service, s)
	if s.queue.slots == 0 {
		return nil, nil, noSlots(t.Service)
	}
	r, err := s.queue.Offer(time.Now(), t)
	if err != nil {
		return nil, nil, err
	}
	turn := make(chan error, 1)
	s.waiters[r] = turn
	s.pump()
	return r, turn, nil
}

// abandon takes r out of the queue; if its turn came meanwhile, the slot is
// given back.
func (f *FairAdmitter) abandon(name string, r *Request, turn chan error, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s.queue.Cancel(r) {
		delete(s.waiters, r)
		return err
	}
	if given := <-turn; given != nil {
		return given
	}
	s.queue.Done(time.Now(), r, 0)
	s.pump()
	return err
}

func (f *FairAdmitter) done(name string, r *Request, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	s.queue.Done(time.Now(), r, cost)
	f.size(name, s)
	s.pump()
}

// Tick takes new slots into account and answers at once those that have become
// hopeless.
func (f *FairAdmitter) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.services {
		f.size(name, s)
		s.pump()
		if s.queue.slots == 0 {
			s.empty(name)
		}
		for _, x := range s.queue.Sweep(time.Now()) {
			s.answer(x.Request, x.Err)
		}
		queueLength(name, s.queue.Waiting())
	}
}

func (f *FairAdmitter) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{queue: NewQueue(), waiters: map[*Request]chan error{}}
		f.services[name] = s
	}
	return s
}

func (f *FairAdmitter) size(name string, s *service) {
	s.queue.Slots(f.slots.Slots(name, s.queue.InFlight()))
}

// pump admits all that have a slot.
func (s *service) pump() {
	for {
		r := s.queue.Next(time.Now())
		if r == nil {
			return
		}
		s.answer(r, nil)
	}
}

// empty refuses all that wait: the last upstream is gone.
func (s *service) empty(name string) {
	for r := range s.waiters {
		if s.queue.Cancel(r) {
			s.answer(r, noSlots(name))
		}
	}
}

func (s *service) answer(r *Request, err error) {
	s.waiters[r] <- err
	delete(s.waiters, r)
}

func noSlots(name string) error {
	return result.NewRetryAfter(result.NoUpstream, noSlotRetry, "no upstream of %s is there", name)
}
