package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/picker"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Attempt is one sending of a request to one upstream.
type Attempt struct {
	To     upstream.Announcement
	Began  time.Time
	Answer *Answer // nil if Err is set
	Err    error
}

// status returns the HTTP status of the answer, or 0 without one.
func (a Attempt) status() int {
	if a.Answer == nil {
		return 0
	}
	return a.Answer.Status
}

// execution is the state of one request while it is served. Only the goroutine that runs
// serve accesses it.
type execution struct {
	proxy       *Proxy
	request     *Request
	fingerprint string
	maxAttempts int
	results     chan Attempt
	pending     sync.WaitGroup
	inFlight    int // attempts without a result yet
	ran         int // number of ended attempts that may have run the request
	notRun      int // number of ended attempts that did not run the request
	hedged      bool
	tried       []string // IDs of the upstreams of all attempts
	bestFailure *Attempt // failure with the highest rank so far
}

// newExecution returns the state of a new request. Only a repeatable request may run on
// more than one upstream.
func newExecution(proxy *Proxy, request *Request) *execution {
	r := &execution{proxy: proxy, request: request, fingerprint: quarantine.Fingerprint(request.Service, request.Account, request.Method+" "+request.Host+request.Target, request.Body), maxAttempts: 1}
	if request.Route == nil || request.Route.Repeatable() {
		r.maxAttempts = defaultMaxAttempts
		if request.Route != nil && request.Route.MaxAttempts > 0 {
			r.maxAttempts = request.Route.MaxAttempts
		}
	}
	r.results = make(chan Attempt, r.maxAttempts+maxRejections+1)
	return r
}

// serve starts the first attempt and handles results, the hedge and the deadline until the
// request ends.
func (r *execution) serve(ctx context.Context) (*Answer, error) {
	if r.proxy.crashes.Blocked(r.fingerprint) {
		return nil, result.New(result.Quarantined, "the request crashed upstreams before")
	}
	ctx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	keepContext := false
	defer func() {
		discardAnswers(r.results, &r.pending)
		if !keepContext {
			cancel()
		}
	}()
	if !r.startAttempt(ctx) {
		return nil, result.Later(result.NoUpstream, retryAfter, "no upstream of %s can take the request", r.request.Service)
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for r.inFlight > 0 {
		select {
		case a := <-r.results:
			r.inFlight--
			if answer, err, done := r.handleResult(ctx, a); done {
				if answer != nil && answer.Stream != nil {
					keepContext = true // the stream needs the context; closing the stream cancels it
					answer.Stream = cancelOnClose{answer.Stream, cancel}
				}
				return answer, err
			}
		case <-hedge.C:
			if r.maxAttempts > 1 && r.ran+r.inFlight < r.maxAttempts && r.startAttempt(ctx) {
				r.hedged = true
				hedges.Inc()
			}
		case <-ctx.Done():
			return nil, r.contextError(ctx)
		}
	}
	return r.finalResult()
}

// hedgeDelay returns the time from the start of the request to its hedge. Without a target
// latency, and on streaming routes, it is the time until the deadline.
func (r *execution) hedgeDelay() time.Duration {
	if r.request.Route == nil || r.request.Route.TargetLatency <= 0 || r.request.Route.Streaming {
		return time.Until(r.request.Deadline)
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayShare*float64(r.request.Route.TargetLatency)))
}

// startAttempt sends the request to another upstream. It returns false when the picker
// finds none.
func (r *execution) startAttempt(ctx context.Context) bool {
	u, ok := r.proxy.chooser.Pick(picker.Request{
		Service: r.request.Service, Zone: r.proxy.zone, Exclude: r.tried, Ends: r.request.Deadline,
		Repeatable: r.maxAttempts > 1,
	})
	if !ok {
		return false
	}
	r.tried = append(r.tried, u.ID)
	r.inFlight++
	r.pending.Go(func() {
		a := Attempt{To: u, Began: time.Now()}
		a.Answer, a.Err = r.proxy.upstreams.Send(ctx, u, r.request)
		r.proxy.chooser.Release(ctx, u, a.Err)
		if a.Err == nil {
			r.proxy.chooser.Took(u, time.Since(a.Began))
		}
		if mayHaveRun(a.Err) && r.request.Account != "" && !r.request.Background {
			r.proxy.usage.Began(r.request.Account, a.Began)
		}
		r.results <- a
	})
	return true
}

// handleResult handles the result of an attempt and starts another one if that is allowed.
// done means that the request ends with this result.
func (r *execution) handleResult(ctx context.Context, a Attempt) (answer *Answer, err error, done bool) {
	if a.Err == nil && isFinal(a.Answer) {
		return a.Answer, nil, true
	}
	if ctx.Err() != nil {
		r.recordFailure(a)
		return nil, r.contextError(ctx), true
	}
	if mayHaveRun(a.Err) {
		r.ran++
		if connectionLost(a.Err) {
			r.proxy.crashes.ConnectionLost(r.request, r.fingerprint, a)
		}
	} else {
		r.notRun++
	}
	r.recordFailure(a)
	r.proxy.log.Info("Attempt failed.", "request", r.request.ID, "upstream", a.To.ID, "incarnation", a.To.Incarnation, "silent", a.To.Silent,
		"status", a.status(), "code", int(result.CodeOf(a.Err)), "ms", time.Since(a.Began).Milliseconds(), "left_ms", time.Until(r.request.Deadline).Milliseconds())
	if r.proxy.crashes.Blocked(r.fingerprint) {
		return nil, result.New(result.QuarantinedNow, "the request crashed upstreams"), true
	}
	if r.mayRetry() && r.startAttempt(ctx) {
		retries.Inc()
	}
	return nil, nil, false
}

// mayRetry reports whether the request may be sent to another upstream.
func (r *execution) mayRetry() bool {
	if r.notRun >= maxRejections {
		return false
	}
	return r.ran+r.inFlight < r.maxAttempts
}

// recordFailure keeps the failure with the highest rank.
func (r *execution) recordFailure(a Attempt) {
	if r.bestFailure == nil || failureRank(a) > failureRank(*r.bestFailure) {
		r.bestFailure = &a
	}
}

// failureRank ranks an answer above an error, and an error of a request that may have run
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
func (r *execution) finalResult() (*Answer, error) {
	if r.bestFailure.Err == nil {
		return r.bestFailure.Answer, nil
	}
	e := result.From(r.bestFailure.Err)
	if !mayHaveRun(e) {
		return nil, result.Later(result.NoUpstream, retryAfter, "no upstream of %s accepted the request: %s", r.request.Service, e.Message)
	}
	return nil, r.bestFailure.Err
}

// contextError returns the error of a request whose deadline has passed or whose caller has
// disconnected.
func (r *execution) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.New(result.UpstreamTimeout, "the caller disconnected")
	}
	if r.inFlight == 0 && r.ran == 0 {
		return result.Later(result.DeadlineUnmet, retryAfter, "no upstream accepted the request in time")
	}
	return result.New(result.UpstreamTimeout, "no answer within the deadline")
}

// mayHaveRun reports whether an attempt that ended with err may have run the request.
func mayHaveRun(err error) bool {
	return err == nil || result.CodeOf(err).Info().Class != result.NotRun
}

// connectionLost reports whether err says that the upstream closed the connection before it
// had answered.
func connectionLost(err error) bool {
	code := result.CodeOf(err)
	return code == result.UpstreamFailed || code == result.AnswerCut
}
