package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Attempt is one attempt to run a request on an upstream, with its result.
type Attempt struct {
	To     upstream.Announcement
	Began  time.Time
	Answer *Answer // nil if Err is set
	Err    error
	RanFor time.Duration // of a stream that has broken off: since its first bytes
	Took   time.Duration // until the result
	Work   *chooser.Work // nil if the upstreams do not state how slow they are
}

// status returns the HTTP status of the response, or 0 without one.
func (a Attempt) status() int {
	if a.Answer == nil {
		return 0
	}
	return a.Answer.Status
}

// execution is the state of one request while it is served. It is owned by the goroutine
// that runs serve.
type execution struct {
	proxy       *Proxy
	request     *Request
	fingerprint string
	maxAttempts int
	origin      origin.Origin // of the stream that the request takes up; zero if it begins one
	results     chan Attempt
	pending     sync.WaitGroup
	inFlight    int // attempts without a result yet
	ran         int // number of ended attempts that may have run the request
	notRun      int // number of ended attempts that did not run the request
	hedged      bool
	atRate      bool        // it has waited for, or was rejected because of, the rates that upstreams name
	tried       []string    // IDs of the upstreams of all attempts
	newest      Unanswered  // the newest attempt
	unanswered  *Unanswered // see Request
	bestFailure *Attempt    // failure with the highest rank so far
	answered    Attempt     // the attempt whose response ends the request
}

// newExecution returns the state of a new request. Only a repeatable request may run on
// more than one upstream.
func newExecution(proxy *Proxy, request *Request) *execution {
	e := &execution{proxy: proxy, request: request, fingerprint: quarantine.Fingerprint(request.Service, request.Account, request.Method+" "+request.Host+request.Target, request.Body), maxAttempts: 1}
	if request.Route == nil || request.Route.Repeatable() {
		e.maxAttempts = defaultMaxAttempts
		if request.Route != nil && request.Route.MaxAttempts > 0 {
			e.maxAttempts = min(request.Route.MaxAttempts, maxMaxAttempts)
		}
	}
	e.results = make(chan Attempt, e.maxAttempts+maxRejections+1)
	return e
}

// serve starts the first attempt and handles results, the hedge and the deadline until the
// request ends.
func (e *execution) serve(ctx context.Context) (*Answer, error) {
	if e.blocked() {
		return nil, result.New(result.Quarantined, "the request crashed upstreams before")
	}
	ctx, cancel := context.WithDeadline(ctx, e.request.Deadline)
	keepContext := false
	defer func() {
		e.discardResults()
		if !keepContext {
			cancel()
		}
	}()
	if e.request.TakeUp != nil {
		if err := e.findOrigin(ctx); err != nil {
			return nil, err
		}
	}
	if !e.startFirst(ctx) {
		return nil, result.NewRetryAfter(result.NoUpstream, e.retryAfter(), "no upstream of %s can take the request%s", e.request.Service, e.reason())
	}
	hedge := time.NewTimer(e.hedgeDelay())
	defer hedge.Stop()
	for e.inFlight > 0 {
		select {
		case a := <-e.results:
			e.inFlight--
			if response, err, done := e.handleResult(ctx, a); done {
				if response != nil && response.Stream != nil {
					keepContext = true // the stream needs the context; closing the stream cancels it
					response.Stream = e.watch(ctx, a, cancelOnClose{response.Stream, cancel})
				}
				return response, err
			}
		case <-hedge.C:
			unanswered := e.newest
			e.unanswered = &unanswered
			if e.maxAttempts > 1 && e.ran+e.inFlight < e.maxAttempts && e.startAttempt(ctx) {
				e.hedged = true
				hedges.Inc()
			}
		case <-ctx.Done():
			return nil, e.contextError(ctx)
		}
	}
	return e.finalResult()
}

// blocked reports whether the request must not run again because it crashed upstreams. A
// background request is owed however many upstreams crash under it.
func (e *execution) blocked() bool {
	return !e.request.Background && e.proxy.crashes.Blocked(e.fingerprint)
}

// hedgeDelay returns the time from the start of the request to its hedge. Without a target
// latency, and on streaming routes, it is the time until the deadline.
func (e *execution) hedgeDelay() time.Duration {
	if e.request.Route == nil || e.request.Route.TargetLatency <= 0 || e.request.Route.Streaming {
		return time.Until(e.request.Deadline)
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayShare*float64(e.request.Route.TargetLatency)))
}

// startFirst starts the first attempt. If no upstream takes the request now, it waits for one
// as long as the request has time for that.
func (e *execution) startFirst(ctx context.Context) bool {
	until := e.waitsUntil()
	if by := e.request.StartBy; !by.IsZero() && by.Before(until) {
		until = by
	}
	for {
		if e.startAttempt(ctx) {
			return true
		}
		wait, ok := e.waitForUpstream()
		if !ok || time.Now().Add(wait).After(until) || !periodic.Pause(ctx, wait) {
			return false
		}
	}
}

// upstreams returns the view of the upstreams in the home regions of the request.
func (e *execution) upstreams() chooser.View { return e.proxy.chooser.Within(e.request.Homes) }

// waitForUpstream returns after what time an upstream may take the request. It returns false
// if waiting is of no use.
func (e *execution) waitForUpstream() (time.Duration, bool) {
	if wait, ok := e.upstreams().AtRate(e.request.Service); ok {
		e.atRate = true
		return wait, true
	}
	return roomPollInterval, e.request.Background && len(e.upstreams().Upstreams(e.request.Service)) > 0
}

// waitsUntil returns until when the request may wait for an upstream that is at its rate.
// Background work has its whole time. A caller's request waits a part of its target latency,
// or of its time without one: later it is better told to return than served late.
func (e *execution) waitsUntil() time.Time {
	now := time.Now()
	switch {
	case e.request.Background:
		return e.request.Deadline
	case e.request.Route != nil && e.request.Route.TargetLatency > 0:
		return now.Add(time.Duration(rateWaitShare * float64(e.request.Route.TargetLatency)))
	}
	return now.Add(time.Duration(rateWaitShareOfTime * float64(e.request.Deadline.Sub(now))))
}

// reason returns why no upstream can take the request, as the end of a sentence.
func (e *execution) reason() string {
	if e.atRate {
		return ": all are at the rates that they name"
	}
	if h := e.request.Homes; h != nil && len(e.upstreams().Upstreams(e.request.Service)) == 0 {
		outsideHomes.Inc()
		return fmt.Sprintf(": none is in its home regions (%v)", h)
	}
	return ""
}

// startAttempt sends the request to another upstream. It returns false when the picker
// finds none, or when it is too late for the request to begin.
func (e *execution) startAttempt(ctx context.Context) bool {
	if by := e.request.StartBy; !by.IsZero() && time.Now().After(by) {
		return false
	}
	choice, ok := e.proxy.chooser.Pick(ctx, picker.Request{
		Service: e.request.Service, Zone: e.proxy.zone, Exclude: e.tried, Ends: e.request.Deadline,
		Repeatable: e.maxAttempts > 1, ID: e.request.ID, Origin: e.origin, ConfirmsStart: e.request.ConfirmStart,
		Homes: e.request.Homes, Background: e.request.Background, LeaveRoom: e.request.Background,
		Route: e.routeName(), Account: e.request.Account, BodyBytes: len(e.request.Body),
	})
	if !ok {
		return false
	}
	u := choice.Announcement
	e.tried = append(e.tried, u.ID)
	e.newest = Unanswered{u.Address, time.Now()}
	e.inFlight++
	q := *e.request
	q.Unanswered, q.SendBy = e.unanswered, choice.SendBy
	e.pending.Go(func() {
		a := Attempt{To: u, Began: time.Now(), Work: choice.Work}
		if choice.Expired(a.Began) {
			a.Err = result.New(result.UpstreamBusy, "the token for the rate of the upstream has run out")
		} else {
			a.Answer, a.Err = e.proxy.upstreams.Send(ctx, u, &q)
		}
		e.proxy.chooser.Release(ctx, u, a.Err)
		if a.Err == nil {
			e.proxy.chooser.RecordLatency(u, time.Since(a.Began))
		}
		e.endWork(ctx, &a)
		if mayHaveRun(a.Err) && e.request.Account != "" && !e.request.Background {
			e.proxy.usage.Began(e.request.Account, a.Began)
		}
		e.results <- a
	})
	return true
}

// handleResult handles the result of an attempt and starts another one if that is allowed.
// done means that the request ends with this result.
func (e *execution) handleResult(ctx context.Context, a Attempt) (response *Answer, err error, done bool) {
	if a.Err == nil && isFinal(a.Answer) {
		e.answered = a
		if a.Answer.Stream == nil && !e.request.Background {
			e.proxy.crashes.Survived(e.fingerprint)
		}
		return a.Answer, nil, true
	}
	if mayHaveRun(a.Err) {
		e.ran++
	} else {
		e.notRun++
	}
	e.recordFailure(a)
	if ctx.Err() != nil {
		e.abandon(a)
		return nil, e.contextError(ctx), true
	}
	if connectionLost(a.Err) || result.CodeOf(a.Err) == result.UpstreamUnreached {
		e.unanswered = &Unanswered{a.To.Address, a.Began}
	}
	if connectionLost(a.Err) && !e.request.Background {
		e.proxy.crashes.ConnectionLost(e.request, e.fingerprint, a)
	}
	e.proxy.log.Info("Attempt failed.", "request", e.request.ID, "upstream", a.To.ID, "incarnation", a.To.Incarnation, "silent", a.To.Silent,
		"status", a.status(), "code", int(result.CodeOf(a.Err)), "ms", time.Since(a.Began).Milliseconds(), "left_ms", time.Until(e.request.Deadline).Milliseconds(), "err", errorText(a.Err))
	if e.blocked() {
		return nil, result.New(result.QuarantinedNow, "the request crashed upstreams"), true
	}
	if e.mayRetry() && e.startAttempt(ctx) {
		retries.Inc()
	}
	return nil, nil, false
}

// abandon reports an attempt that ended after its request had, unless it cannot have run.
func (e *execution) abandon(a Attempt) {
	if a.Err != nil && mayHaveRun(a.Err) && !e.request.Background {
		e.proxy.crashes.Abandoned(e.request, e.fingerprint, a)
	}
}

// discardResults starts a goroutine that waits for the pending attempts and discards their
// responses.
func (e *execution) discardResults() {
	go func() {
		e.pending.Wait()
		for {
			select {
			case a := <-e.results:
				a.Answer.Discard()
				e.abandon(a)
			default:
				return
			}
		}
	}()
}

// mayRetry reports whether the request may be sent to another upstream.
func (e *execution) mayRetry() bool {
	if e.notRun >= maxRejections {
		return false
	}
	return e.ran+e.inFlight < e.maxAttempts
}

// recordFailure keeps the failure with the highest rank.
func (e *execution) recordFailure(a Attempt) {
	if e.bestFailure != nil && failureRank(a) <= failureRank(*e.bestFailure) {
		a.Answer.Discard()
		return
	}
	if e.bestFailure != nil {
		e.bestFailure.Answer.Discard()
	}
	e.bestFailure = &a
}

// failureRank ranks a response above an error, and an error of a request that may have run
// above one of a request that did not.
func failureRank(a Attempt) int {
	switch {
	case a.Err == nil:
		return 2
	case mayHaveRun(a.Err):
		return 1
	}
	return 0
}

// finalResult returns the best failure once no attempt is left. A request that no upstream
// ran fails with NoUpstream.
func (e *execution) finalResult() (*Answer, error) {
	if e.bestFailure.Err == nil {
		return e.bestFailure.Answer, nil // the request ends with it
	}
	failure := result.From(e.bestFailure.Err)
	if !mayHaveRun(failure) {
		wait := e.retryAfter()
		if failure.RetryAfter > 0 {
			wait = failure.RetryAfter
		}
		return nil, result.NewRetryAfter(result.NoUpstream, wait, "no upstream of %s accepted the request: %s", e.request.Service, failure.Message)
	}
	return nil, e.bestFailure.Err
}

// retryAfter returns the delay after which an upstream may take the request.
func (e *execution) retryAfter() time.Duration {
	if len(e.upstreams().Upstreams(e.request.Service)) == 0 {
		return unlistedRetryAfter
	}
	if d, ok := e.upstreams().ReturnDelay(e.request.Service); ok {
		return d
	}
	return retryAfter
}

// contextError returns the error of a request whose deadline has passed or whose caller has
// disconnected.
func (e *execution) contextError(ctx context.Context) error {
	var stopped *result.Error
	if errors.As(context.Cause(ctx), &stopped) {
		return stopped
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.New(result.UpstreamTimeout, "the caller disconnected")
	}
	if e.inFlight == 0 && e.ran == 0 {
		return result.NewRetryAfter(result.DeadlineUnmet, retryAfter, "no upstream accepted the request in time")
	}
	return result.New(result.UpstreamTimeout, "no response within the deadline")
}

// errorText returns the message of err for the log, or "" without an error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return result.From(err).Message
}

// mayHaveRun reports whether an attempt that ended with err may have run the request.
func mayHaveRun(err error) bool {
	return err == nil || result.CodeOf(err).Info().Class != result.NotRun
}

// connectionLost reports whether err may mean that the upstream closed the connection
// before it had sent its whole response.
func connectionLost(err error) bool {
	code := result.CodeOf(err)
	return code == result.UpstreamFailed || code == result.AnswerCut
}
