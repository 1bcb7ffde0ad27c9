package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Timeouts of one attempt.
const (
	// firstEventTimeout covers the time in the queue of an engine and the processing of
	// the prompt.
	firstEventTimeout = 3 * time.Second
	// eventTimeout is the time without an event after which an attempt is cancelled, so
	// that its item resumes on another engine. An engine that processes long prompts
	// between two events still sends the next one within a fraction of this time.
	eventTimeout = 1500 * time.Millisecond
)

// attempt is one try to generate an item on an engine.
type attempt struct {
	item      *item
	engine    upstream.Announcement
	startedAt time.Time
	request   GenerateRequest
	ctx       context.Context
	cancel    context.CancelCauseFunc // cancels the attempt with the given cause

	limit    outputLimit // of the whole item
	earlier  int         // events of earlier attempts
	mu       sync.Mutex
	events   []Event
	counted  int // events that exist, some of which may not have arrived
	bytes    int // of the item's text, including the events of earlier attempts
	budget   *outputBudget
	memory   int64 // of the attempt's events in the budget
	overlong error // set when the limit was exceeded; the attempt has no events then

	firstEventAt   time.Time
	reportedEvents int       // events that progress has returned so far, without the first
	reportedAt     time.Time // time of the latest progress call, or of the first event

	err error // set by run before it returns
}

func newAttempt(ctx context.Context, term uint64, it *item, engine upstream.Announcement, budget *outputBudget) *attempt {
	b := it.job.batch
	a := &attempt{item: it, engine: engine, startedAt: time.Now(), budget: budget, limit: limitOf(it.spec), earlier: len(it.events), bytes: textBytes(it.events)}
	a.request = GenerateRequest{
		ID: it.spec.ID, Host: b.Host, Path: it.spec.Path, Account: b.Account, Header: it.spec.Header, Body: it.spec.Body, Homes: b.Homes,
		LastEventID: it.lastEventID, Priority: batchPriority, Deadline: it.job.expiresAt(),
		ReadPause: func() time.Duration { return readPause(int(budget.attempts.Load())) }, MaxEventBytes: budget.maxEventBytes,
		Term: term, Job: b.ID, Text: textDigest(it.events), MaxEvents: a.limit.events - a.earlier, MaxBytes: a.limit.bytes - a.bytes,
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// batchPriority is the priority of batch items at engines, where 0 is the highest. It is
// meant to be lower than the priority of callers' requests, which a route or an account sets.
const batchPriority = 5

// run generates the item and sets err. It cancels the attempt with UpstreamTimeout when no
// event arrives in time, and with AnswerCut when the output exceeds its limit. If the
// generation fails after the attempt was cancelled, err is the cause of the cancellation.
func (a *attempt) run(engines Engines) {
	defer a.cancel(nil)
	watchdog := time.AfterFunc(firstEventTimeout, func() {
		a.cancel(result.New(result.UpstreamTimeout, "the upstream sent no event within the timeout"))
	})
	defer watchdog.Stop()
	a.request.Progress = func(n int) {
		if a.count(n) {
			watchdog.Reset(eventTimeout)
		}
	}
	err := engines.Generate(a.ctx, a.engine, a.request, func(e Event) {
		watchdog.Reset(eventTimeout)
		a.appendEvent(e)
	})
	if cause := context.Cause(a.ctx); err != nil && cause != nil {
		err = cause
	}
	if a.overlong != nil {
		err = a.overlong // also when the stream ended before the cancellation took effect
	}
	a.err = err
}

// appendEvent keeps an event. If the output of the item exceeds its limit or the attempt
// its share of the budget, the upstream does not keep to the request, and nothing tells its
// sound events from the others: the attempt is cancelled and all its events are dropped.
func (a *attempt) appendEvent(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.overlong != nil {
		return
	}
	a.bytes += len(e.Data) + 1
	if a.overlong = a.limit.check(a.earlier+len(a.events)+1, a.bytes); a.overlong == nil {
		a.memory, a.overlong = a.budget.add(a.memory, e, a.item.spec)
	}
	if a.overlong != nil {
		a.events = nil
		a.budget.release(a.memory)
		a.memory = 0
		a.cancel(a.overlong)
		return
	}
	a.noteFirstEvent()
	a.events = append(a.events, e)
	a.counted = max(a.counted, len(a.events))
}

// count records that n events exist, and reports whether there are more than before.
func (a *attempt) count(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n <= a.counted || a.overlong != nil {
		return false
	}
	a.noteFirstEvent()
	a.counted = n
	return true
}

// noteFirstEvent records the time of the first event. The caller holds a.mu.
func (a *attempt) noteFirstEvent() {
	if a.counted == 0 {
		a.firstEventAt = time.Now()
		a.reportedAt = a.firstEventAt
	}
}

// origin returns the origin of the item's text, that of no text before its first event.
func (a *attempt) origin() origin.Origin {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.earlier == 0 && a.counted == 0 {
		return origin.Origin{}
	}
	return origin.Of(a.engine)
}

// eventsSoFar returns a copy of the events received so far.
func (a *attempt) eventsSoFar() []Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.events)
}

// eventCount returns the number of events of the item's text so far.
func (a *attempt) eventCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.earlier + a.counted
}

// progress returns the number of events since the last call and the time since then. It
// doesn't count the first event, since that one includes the processing of the prompt.
func (a *attempt) progress(now time.Time) (int, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counted == 0 {
		return 0, 0
	}
	n, ran := a.counted-1-a.reportedEvents, now.Sub(a.reportedAt)
	a.reportedEvents, a.reportedAt = a.counted-1, now
	return n, ran
}
