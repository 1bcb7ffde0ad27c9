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
	Answer *Answer
	Err    error
}

// status is the upstream's status; 0 without an answer.
func (a Attempt) status() int {
	if a.Answer == nil {
		return 0
	}
	return a.Answer.Status
}

// run is the state of one request while it is served. One goroutine owns it.
type run struct {
	p           *Proxy
	q           *Request
	fingerprint string
	maxRuns     int
	results     chan Attempt
	pending     sync.WaitGroup
	inFlight    int
	runs        int // upstreams that may have run it
	refused     int // upstreams that did not run it
	hedged      bool
	tried       []string
	failed      *Attempt // best failure so far
}

func newRun(p *Proxy, q *Request) *run {
	r := &run{p: p, q: q, fingerprint: quarantine.Fingerprint(q.Service, q.Account, q.Method+" "+q.Host+q.Target, q.Body), maxRuns: 1}
	if q.Route == nil || q.Route.Repeatable() {
		r.maxRuns = defaultAttempts
		if q.Route != nil && q.Route.MaxAttempts > 0 {
			r.maxRuns = q.Route.MaxAttempts
		}
	}
	r.results = make(chan Attempt, r.maxRuns+maxRefusals+1)
	return r
}

func (r *run) serve(ctx context.Context) (*Answer, error) {
	if r.p.suspects.Blocked(r.fingerprint) {
		return nil, result.New(result.Quarantined, "the request crashed upstreams before")
	}
	ctx, cancel := context.WithDeadline(ctx, r.q.Deadline)
	keep := false
	defer func() {
		closeAll(r.results, &r.pending)
		if !keep {
			cancel()
		}
	}()
	if !r.launch(ctx) {
		return nil, result.NewRetryAfter(result.NoUpstream, comeBack, "no upstream of %s can take the request", r.q.Service)
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for r.inFlight > 0 {
		select {
		case a := <-r.results:
			r.inFlight--
			if answer, err, done := r.take(ctx, a); done {
				if answer != nil && answer.Stream != nil {
					keep = true // the stream needs the context; it ends with the caller's
					answer.Stream = cancelOnClose{answer.Stream, cancel}
				}
				return answer, err
			}
		case <-hedge.C:
			if r.maxRuns > 1 && r.runs+r.inFlight < r.maxRuns && r.launch(ctx) {
				r.hedged = true
				hedges.Inc()
			}
		case <-ctx.Done():
			return nil, r.expired(ctx)
		}
	}
	return r.giveUp()
}

func (r *run) hedgeDelay() time.Duration {
	if r.q.Route == nil || r.q.Route.TargetLatency <= 0 || r.q.Route.Streaming {
		return time.Until(r.q.Deadline)
	}
	return max(minHedge, time.Duration(hedgeShare*float64(r.q.Route.TargetLatency)))
}

// launch sends the request to another upstream; false when there is none.
func (r *run) launch(ctx context.Context) bool {
	u, ok := r.p.chooser.Pick(picker.Request{
		Service: r.q.Service, Zone: r.p.zone, Exclude: r.tried, Ends: r.q.Deadline,
		Repeatable: r.maxRuns > 1,
	})
	if !ok {
		return false
	}
	r.tried = append(r.tried, u.ID)
	r.inFlight++
	r.pending.Go(func() {
		a := Attempt{To: u, Began: time.Now()}
		a.Answer, a.Err = r.p.upstreams.Send(ctx, u, r.q)
		r.p.chooser.Release(ctx, u, a.Err)
		if a.Err == nil {
			r.p.chooser.RecordLatency(u, time.Since(a.Began))
		}
		if mayHaveRun(a.Err) && r.q.Account != "" && !r.q.Background {
			r.p.usage.Began(r.q.Account, a.Began)
		}
		r.results <- a
	})
	return true
}

// take deals with the end of an attempt; done when the request ends with it.
func (r *run) take(ctx context.Context, a Attempt) (answer *Answer, err error, done bool) {
	if a.Err == nil && succeeded(a.Answer) {
		return a.Answer, nil, true
	}
	if ctx.Err() != nil {
		r.remember(a)
		return nil, r.expired(ctx), true
	}
	if mayHaveRun(a.Err) {
		r.runs++
		if broke(a.Err) {
			r.p.suspects.Failed(r.q, r.fingerprint, a)
		}
	} else {
		r.refused++
	}
	r.remember(a)
	r.p.log.Info("Attempt failed.", "request", r.q.ID, "upstream", a.To.ID, "incarnation", a.To.Incarnation, "silent", a.To.Silent,
		"status", a.status(), "code", int(result.CodeOf(a.Err)), "ms", time.Since(a.Began).Milliseconds(), "left_ms", time.Until(r.q.Deadline).Milliseconds())
	if r.p.suspects.Blocked(r.fingerprint) {
		return nil, result.New(result.QuarantinedNow, "the request crashed upstreams"), true
	}
	if r.again() && r.launch(ctx) {
		retries.Inc()
	}
	return nil, nil, false
}

// again reports whether another upstream may be tried.
func (r *run) again() bool {
	if r.refused >= maxRefusals {
		return false
	}
	return r.runs+r.inFlight < r.maxRuns
}

// remember keeps the failure that says most: an answer before an error, a
// failure after a run before one without.
func (r *run) remember(a Attempt) {
	if r.failed == nil || rank(a) > rank(*r.failed) {
		r.failed = &a
	}
}

func rank(a Attempt) int {
	switch {
	case a.Err == nil:
		return 2
	case mayHaveRun(a.Err):
		return 1
	}
	return 0
}

func (r *run) giveUp() (*Answer, error) {
	if r.failed.Err == nil {
		return r.failed.Answer, nil
	}
	e := result.From(r.failed.Err)
	if !mayHaveRun(e) {
		return nil, result.NewRetryAfter(result.NoUpstream, comeBack, "no upstream of %s took the request: %s", r.q.Service, e.Message)
	}
	return nil, r.failed.Err
}

// expired is the answer when the deadline has passed or the caller has gone.
func (r *run) expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.New(result.UpstreamTimeout, "the caller has gone")
	}
	if r.inFlight == 0 && r.runs == 0 {
		return result.NewRetryAfter(result.DeadlineUnmet, comeBack, "no upstream took the request in time")
	}
	return result.New(result.UpstreamTimeout, "no answer within the deadline")
}

func mayHaveRun(err error) bool {
	return err == nil || result.CodeOf(err).Info().Class != result.NotRun
}

// broke reports whether the upstream ended the connection while it had the
// request.
func broke(err error) bool {
	code := result.CodeOf(err)
	return code == result.UpstreamFailed || code == result.AnswerCut
}
