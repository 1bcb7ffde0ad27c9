package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Bounds of one run.
const (
	// firstEventTimeout covers the queue of an engine and the reading of a prompt.
	firstEventTimeout = 3 * time.Second
	// eventTimeout is the pause between events after which a run goes on
	// elsewhere: an engine that reads long prompts in between takes a fraction.
	eventTimeout = 1500 * time.Millisecond
)

// attempt is one run of an item on an engine.
type attempt struct {
	item   *item
	engine upstream.Announcement
	began  time.Time
	gen    GenerateRequest
	ctx    context.Context
	cancel context.CancelCauseFunc // ends the run early for a reason

	mu     sync.Mutex
	events []Event
	first  time.Time // of the first event
	seen   int       // events that progress has reported
	seenAt time.Time

	err error // set before the attempt is passed on
}

func newAttempt(ctx context.Context, it *item, engine upstream.Announcement) *attempt {
	b := it.job.batch
	a := &attempt{item: it, engine: engine, began: time.Now()}
	a.gen = GenerateRequest{
		ID: it.spec.ID, Host: b.Host, Path: it.spec.Path, Account: b.Account, Header: it.spec.Header, Body: it.spec.Body,
		LastEventID: it.lastID, Priority: defaultRank, Deadline: it.job.expires(),
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// defaultRank is the urgency of batch work towards engines, behind callers.
const defaultRank = 5

// run runs the item and ends with err set.
func (a *attempt) run(engines Engines) {
	defer a.cancel(nil)
	watch := time.AfterFunc(firstEventTimeout, func() {
		a.cancel(result.New(result.UpstreamTimeout, "no event in time"))
	})
	defer watch.Stop()
	err := engines.Generate(a.ctx, a.engine, a.gen, func(e Event) {
		watch.Reset(eventTimeout)
		a.record(e)
	})
	if cause := context.Cause(a.ctx); err != nil && cause != nil {
		err = cause
	}
	a.err = err
}

func (a *attempt) record(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.events) == 0 {
		a.first = time.Now()
		a.seenAt = a.first
	}
	a.events = append(a.events, e)
}

// sofar returns the events so far.
func (a *attempt) sofar() []Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.events)
}

// progress returns the events since the last call, and the time that the item
// has run since. The first event is not counted: it comes after the prompt.
func (a *attempt) progress(now time.Time) (int, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.events) == 0 {
		return 0, 0
	}
	n, ran := len(a.events)-1-a.seen, now.Sub(a.seenAt)
	a.seen, a.seenAt = len(a.events)-1, now
	return n, ran
}
