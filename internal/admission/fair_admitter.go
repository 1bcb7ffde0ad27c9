package admission

import (
	"context"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Slots provides the number of requests of a service that this entry may have in flight,
// given how many it has now. The number is 0 if the service has no upstream.
type Slots interface {
	Slots(service string, inFlight int) int
}

// noUpstreamRetryAfter is the retry delay returned when the service has no upstream.
const noUpstreamRetryAfter = time.Second

// FairAdmitter admits requests by one Queue for each service.
type FairAdmitter struct {
	slots Slots

	mu       sync.Mutex
	services map[string]*serviceQueue
}

// serviceQueue is the Queue of one service with the goroutines that wait in it.
type serviceQueue struct {
	queue   *Queue
	waiters map[*Request]chan error // receive nil when admitted, or the error
}

// NewFairAdmitter returns a FairAdmitter whose concurrency slots come from slots. The
// caller must call Tick periodically.
func NewFairAdmitter(slots Slots) *FairAdmitter {
	return &FairAdmitter{slots: slots, services: map[string]*serviceQueue{}}
}

// Admit implements Admitter. Errors: Overloaded and DeadlineUnmet with a retry delay,
// NoUpstream, or the error of ctx.
func (f *FairAdmitter) Admit(ctx context.Context, info RequestInfo) (func(float64), error) {
	began := time.Now()
	r, decision, err := f.enqueue(info)
	if err != nil {
		return nil, CountRejection(info, err)
	}
	select {
	case err = <-decision:
	case <-ctx.Done():
		err = f.abandon(info.Service, r, decision, ctx.Err())
	}
	if err != nil {
		return nil, CountRejection(info, err)
	}
	recordWait(info, time.Since(began))
	var once sync.Once
	return func(cost float64) {
		once.Do(func() {
			recordTokens(info, cost)
			f.done(info.Service, r, cost)
		})
	}, nil
}

// enqueue adds a request to the queue of its service. The returned channel receives nil
// when the request is admitted, or the error with which it is rejected.
func (f *FairAdmitter) enqueue(info RequestInfo) (*Request, chan error, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.serviceQueue(info.Service)
	f.updateSlots(info.Service, s)
	if s.queue.slots == 0 {
		return nil, nil, noUpstreamError(info.Service)
	}
	r, err := s.queue.Enqueue(time.Now(), info)
	if err != nil {
		return nil, nil, err
	}
	decision := make(chan error, 1)
	s.waiters[r] = decision
	s.admitQueued()
	return r, decision, nil
}

// abandon removes r from the queue after its context ended. If r was admitted meanwhile,
// its slot is released.
func (f *FairAdmitter) abandon(name string, r *Request, decision chan error, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s.queue.Cancel(r) {
		delete(s.waiters, r)
		return err
	}
	if decided := <-decision; decided != nil {
		return decided
	}
	s.queue.Done(time.Now(), r, 0)
	s.admitQueued()
	return err
}

func (f *FairAdmitter) done(name string, r *Request, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	s.queue.Done(time.Now(), r, cost)
	f.updateSlots(name, s)
	s.admitQueued()
}

// Tick updates the number of slots of each service, admits queued requests, and rejects
// those that can no longer end in time or whose service has no upstream.
func (f *FairAdmitter) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.services {
		f.updateSlots(name, s)
		s.admitQueued()
		if s.queue.slots == 0 {
			s.rejectAll(name)
		}
		for _, x := range s.queue.RejectOverdue(time.Now()) {
			s.notify(x.Request, x.Err)
		}
		setQueueLength(name, s.queue.Waiting())
	}
}

func (f *FairAdmitter) serviceQueue(name string) *serviceQueue {
	s := f.services[name]
	if s == nil {
		s = &serviceQueue{queue: NewQueue(), waiters: map[*Request]chan error{}}
		f.services[name] = s
	}
	return s
}

// updateSlots updates the number of slots of s. The caller holds f.mu.
func (f *FairAdmitter) updateSlots(name string, s *serviceQueue) {
	s.queue.Slots(f.slots.Slots(name, s.queue.InFlight()))
}

// admitQueued admits queued requests while slots are free.
func (s *serviceQueue) admitQueued() {
	for {
		r := s.queue.Next(time.Now())
		if r == nil {
			return
		}
		s.notify(r, nil)
	}
}

// rejectAll rejects all queued requests because the service has no upstream left.
func (s *serviceQueue) rejectAll(name string) {
	for r := range s.waiters {
		if s.queue.Cancel(r) {
			s.notify(r, noUpstreamError(name))
		}
	}
}

// notify sends the decision on r to the goroutine that waits for it.
func (s *serviceQueue) notify(r *Request, err error) {
	s.waiters[r] <- err
	delete(s.waiters, r)
}

func noUpstreamError(name string) error {
	return result.NewRetryAfter(result.NoUpstream, noUpstreamRetryAfter, "service %s has no upstream", name)
}
