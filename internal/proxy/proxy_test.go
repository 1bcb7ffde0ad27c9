package proxy

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// fakeUpstreams is a set of n upstreams. Their responses come from a function of the
// upstream's ID and the number of attempts so far.
type fakeUpstreams struct {
	n       int
	respond func(ctx context.Context, upstream string, sent int) (*Answer, error)

	mu    sync.Mutex
	sent  []string
	ended int
}

func (f *fakeUpstreams) Service(string) []upstream.Announcement {
	var out []upstream.Announcement
	for i := range f.n {
		out = append(out, upstream.Announcement{ID: fmt.Sprint("u", i), Service: "s", Concurrency: 6, Class: upstream.ClassRegular})
	}
	return out
}

func (f *fakeUpstreams) Send(ctx context.Context, to upstream.Announcement, _ *Request) (*Answer, error) {
	f.mu.Lock()
	f.sent = append(f.sent, to.ID)
	n := len(f.sent)
	f.mu.Unlock()
	a, err := f.respond(ctx, to.ID, n)
	f.mu.Lock()
	f.ended++
	f.mu.Unlock()
	if a != nil {
		a.From = to
	}
	return a, err
}

type fakeUsage struct{ n int }

func (f *fakeUsage) Began(string, time.Time) { f.n++ }

type fakeCrashTracker struct {
	lost, survived int
	abandoned      atomic.Int32
}

func (*fakeCrashTracker) Blocked(string) bool                        { return false }
func (f *fakeCrashTracker) ConnectionLost(*Request, string, Attempt) { f.lost++ }
func (f *fakeCrashTracker) Abandoned(*Request, string, Attempt)      { f.abandoned.Add(1) }
func (f *fakeCrashTracker) Survived(string)                          { f.survived++ }

func serve(upstreams *fakeUpstreams, route routing.Route) (*Answer, *fakeUsage, error) {
	usage := &fakeUsage{}
	p := New(log.New(io.Discard), "z", chooser.New(upstreams), upstreams, usage, &fakeCrashTracker{})
	q := &Request{ID: "r", Account: "one", Route: &route, Service: "s", Method: http.MethodPost, Target: "/", Deadline: time.Now().Add(1500 * time.Millisecond)}
	a, err := p.Serve(context.Background(), q)
	synctest.Wait()
	return a, usage, err
}

func okResponse() (*Answer, error)            { return &Answer{Status: http.StatusOK}, nil }
func failWith(c result.Code) (*Answer, error) { return nil, result.New(c, "x") }

var (
	idempotentRoute    = routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3, TargetLatency: 150 * time.Millisecond}
	nonIdempotentRoute = routing.Route{Name: "r", Kind: routing.NonIdempotent, MaxAttempts: 3, TargetLatency: 150 * time.Millisecond}
)

// waitForCancel never answers: it returns when the attempt is canceled.
func waitForCancel(ctx context.Context) (*Answer, error) {
	<-ctx.Done()
	return failWith(result.UpstreamTimeout)
}

func TestServe(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   routing.Route
		respond func(ctx context.Context, u string, sent int) (*Answer, error)
		sent    int
		code    result.Code
		status  int
		counts  int
	}{
		{
			name: "the first attempt succeeds", route: idempotentRoute, sent: 1, status: 200, counts: 1,
			respond: func(context.Context, string, int) (*Answer, error) { return okResponse() },
		},
		{
			name: "a full upstream is skipped and its attempt not counted", route: idempotentRoute, sent: 2, status: 200, counts: 1,
			respond: func(_ context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return failWith(result.UpstreamBusy)
				}
				return okResponse()
			},
		},
		{
			name: "a request whose response was cut off is retried", route: idempotentRoute, sent: 2, status: 200, counts: 2,
			respond: func(_ context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return failWith(result.AnswerCut)
				}
				return okResponse()
			},
		},
		{
			name: "no more attempts than the route allows", route: idempotentRoute, sent: 3, code: result.UpstreamFailed, counts: 3,
			respond: func(context.Context, string, int) (*Answer, error) { return failWith(result.UpstreamFailed) },
		},
		{
			name: "a 500 response is returned after the last attempt", route: idempotentRoute, sent: 3, status: 500, counts: 3,
			respond: func(context.Context, string, int) (*Answer, error) { return &Answer{Status: 500}, nil },
		},
		{
			name: "all upstreams full: NoUpstream", route: idempotentRoute, sent: maxRejections, code: result.NoUpstream,
			respond: func(context.Context, string, int) (*Answer, error) { return failWith(result.UpstreamBusy) },
		},
		{
			name: "a non-idempotent request that may have run is not retried", route: nonIdempotentRoute, sent: 1, code: result.UpstreamFailed, counts: 1,
			respond: func(context.Context, string, int) (*Answer, error) { return failWith(result.UpstreamFailed) },
		},
		{
			name: "a non-idempotent request that did not run is retried", route: nonIdempotentRoute, sent: 2, status: 200, counts: 1,
			respond: func(_ context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return failWith(result.UpstreamUnreached)
				}
				return okResponse()
			},
		},
		{
			name: "a request to a silent upstream is hedged", route: idempotentRoute, sent: 2, status: 200, counts: 2,
			respond: func(ctx context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return waitForCancel(ctx)
				}
				return okResponse()
			},
		},
		{
			name: "a non-idempotent request is never hedged", route: nonIdempotentRoute, sent: 1, code: result.UpstreamTimeout, counts: 1,
			respond: func(ctx context.Context, _ string, _ int) (*Answer, error) { return waitForCancel(ctx) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				upstreams := &fakeUpstreams{n: 6, respond: c.respond}
				a, usage, err := serve(upstreams, c.route)
				g.Expect(result.CodeOf(err)).To(Equal(c.code))
				if c.status != 0 {
					g.Expect(a.Status).To(Equal(c.status))
				}
				g.Expect(upstreams.sent).To(HaveLen(c.sent))
				g.Expect(upstreams.ended).To(Equal(c.sent), "all attempts end with the request")
				g.Expect(usage.n).To(Equal(c.counts))
				seen := map[string]bool{}
				for _, u := range upstreams.sent {
					g.Expect(seen[u]).To(BeFalse(), "at most one attempt per upstream")
					seen[u] = true
				}
			})
		})
	}
}

// A hedge must start early enough for its response to arrive within the target latency.
func TestHedgeAnswersWithinTargetLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		f := &fakeUpstreams{n: 2, respond: func(ctx context.Context, _ string, n int) (*Answer, error) {
			if n == 1 {
				return waitForCancel(ctx)
			}
			time.Sleep(25 * time.Millisecond)
			return okResponse()
		}}
		_, _, err := serve(f, idempotentRoute)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", idempotentRoute.TargetLatency))
	})
}

// A request to a service without upstreams must fail at once with a Retry-After.
func TestServeWithoutUpstreamsFailsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		_, _, err := serve(&fakeUpstreams{}, idempotentRoute)
		g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
		g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(BeZero())
	})
}

// slowRates is a chooser.Rates whose leader takes 10 ms for each token and has one.
type slowRates struct{ asked int }

func (*slowRates) Wait(time.Time, upstream.Announcement) time.Duration { return 0 }

func (r *slowRates) Acquire(context.Context, upstream.Announcement, ratecap.Purpose, string) (time.Time, bool) {
	time.Sleep(10 * time.Millisecond)
	r.asked++
	return time.Time{}, r.asked == 1
}

func (*slowRates) ReturnDelay(string, []upstream.Announcement) (time.Duration, bool) { return 0, false }

// Guards against a request that is answered as not run although an upstream may have run it: its
// only attempt fails at the deadline, while the hedge waits for a token.
func TestRequestThatFailsAtItsDeadlineMayHaveRun(t *testing.T) {
	for range 50 { // which of the events at the deadline is seen first is random
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakeUpstreams{n: 2, respond: func(ctx context.Context, _ string, _ int) (*Answer, error) { return waitForCancel(ctx) }}
			c := chooser.New(f)
			c.Rates = &slowRates{}
			p := New(log.New(io.Discard), "z", c, f, &fakeUsage{}, &fakeCrashTracker{})
			route := routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3}
			_, err := p.Serve(t.Context(), &Request{ID: "r", Route: &route, Service: "s", Method: "POST", Target: "/", Deadline: time.Now().Add(time.Second)})
			synctest.Wait()
			g.Expect(f.sent).To(HaveLen(1))
			g.Expect(result.CodeOf(err).Info().Class).NotTo(Equal(result.NotRun))
		})
	}
}

// Guards against an entry that runs out of memory because of one number in the configuration: each
// request has room for the results of all attempts that its route allows.
func TestRouteWithHugeMaxAttemptsCostsNoMemory(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1 << 30, math.MaxInt} {
		route := routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: n}
		e := newExecution(nil, &Request{ID: "r", Route: &route, Service: "s", Method: "POST", Target: "/"})
		g.Expect(cap(e.results)).To(BeNumerically("<", 1000))
	}
}
