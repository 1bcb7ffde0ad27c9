package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/routing"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// fleet is a set of upstreams that answer by a function of their number and of
// how often a request has been sent so far.
type fleet struct {
	n      int
	answer func(ctx context.Context, upstream string, sent int) (*Answer, error)

	mu    sync.Mutex
	sent  []string
	ended int
}

func (f *fleet) Service(string) []upstream.Announcement {
	var out []upstream.Announcement
	for i := range f.n {
		out = append(out, upstream.Announcement{ID: fmt.Sprint("u", i), Service: "s", Concurrency: 6, Class: upstream.ClassRegular})
	}
	return out
}

func (f *fleet) Send(ctx context.Context, to upstream.Announcement, _ *Request) (*Answer, error) {
	f.mu.Lock()
	f.sent = append(f.sent, to.ID)
	n := len(f.sent)
	f.mu.Unlock()
	a, err := f.answer(ctx, to.ID, n)
	f.mu.Lock()
	f.ended++
	f.mu.Unlock()
	if a != nil {
		a.From = to
	}
	return a, err
}

type tally struct{ n int }

func (t *tally) Began(string, time.Time) { t.n++ }

type trusting struct{ failed int }

func (*trusting) Blocked(string) bool                { return false }
func (t *trusting) Failed(*Request, string, Attempt) { t.failed++ }

func serve(f *fleet, route routing.Route) (*Answer, *tally, error) {
	count := &tally{}
	p := New(log.New(io.Discard), "z", chooser.New(f), f, count, &trusting{})
	q := &Request{ID: "r", Account: "one", Route: &route, Service: "s", Method: http.MethodPost, Target: "/", Deadline: time.Now().Add(1500 * time.Millisecond)}
	a, err := p.Serve(context.Background(), q)
	synctest.Wait()
	return a, count, err
}

func ok() (*Answer, error)                { return &Answer{Status: http.StatusOK}, nil }
func fail(c result.Code) (*Answer, error) { return nil, result.New(c, "x") }

var (
	safe = routing.Route{Name: "r", Kind: routing.Idempotent, MaxAttempts: 3, TargetLatency: 150 * time.Millisecond}
	once = routing.Route{Name: "r", Kind: routing.NonIdempotent, MaxAttempts: 3, TargetLatency: 150 * time.Millisecond}
)

func hang(ctx context.Context) (*Answer, error) {
	<-ctx.Done()
	return fail(result.UpstreamTimeout)
}

func TestServe(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  routing.Route
		answer func(ctx context.Context, u string, sent int) (*Answer, error)
		sent   int
		code   result.Code
		status int
		counts int
	}{
		{
			name: "at once", route: safe, sent: 1, status: 200, counts: 1,
			answer: func(context.Context, string, int) (*Answer, error) { return ok() },
		},
		{
			name: "a full upstream is passed over and counts as no run", route: safe, sent: 2, status: 200, counts: 1,
			answer: func(_ context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return fail(result.UpstreamBusy)
				}
				return ok()
			},
		},
		{
			name: "an answer that was cut off is fetched again", route: safe, sent: 2, status: 200, counts: 2,
			answer: func(_ context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return fail(result.AnswerCut)
				}
				return ok()
			},
		},
		{
			name: "no more runs than the route allows", route: safe, sent: 3, code: result.UpstreamFailed, counts: 3,
			answer: func(context.Context, string, int) (*Answer, error) { return fail(result.UpstreamFailed) },
		},
		{
			name: "a failure of the upstream itself is passed on after the last run", route: safe, sent: 3, status: 500, counts: 3,
			answer: func(context.Context, string, int) (*Answer, error) { return &Answer{Status: 500}, nil },
		},
		{
			name: "all full: refused as not run", route: safe, sent: maxRefusals, code: result.NoUpstream,
			answer: func(context.Context, string, int) (*Answer, error) { return fail(result.UpstreamBusy) },
		},
		{
			name: "a non-idempotent request that may have run is not sent again", route: once, sent: 1, code: result.UpstreamFailed, counts: 1,
			answer: func(context.Context, string, int) (*Answer, error) { return fail(result.UpstreamFailed) },
		},
		{
			name: "a non-idempotent request that did not run is", route: once, sent: 2, status: 200, counts: 1,
			answer: func(_ context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return fail(result.UpstreamUnreached)
				}
				return ok()
			},
		},
		{
			name: "a silent upstream is hedged within the target", route: safe, sent: 2, status: 200, counts: 2,
			answer: func(ctx context.Context, _ string, n int) (*Answer, error) {
				if n == 1 {
					return hang(ctx)
				}
				return ok()
			},
		},
		{
			name: "a non-idempotent request is never hedged", route: once, sent: 1, code: result.UpstreamTimeout, counts: 1,
			answer: func(ctx context.Context, _ string, _ int) (*Answer, error) { return hang(ctx) },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &fleet{n: 6, answer: c.answer}
				a, count, err := serve(f, c.route)
				g.Expect(result.CodeOf(err)).To(Equal(c.code))
				if c.status != 0 {
					g.Expect(a.Status).To(Equal(c.status))
				}
				g.Expect(f.sent).To(HaveLen(c.sent))
				g.Expect(f.ended).To(Equal(c.sent), "no run outlives its request")
				g.Expect(count.n).To(Equal(c.counts))
				seen := map[string]bool{}
				for _, u := range f.sent {
					g.Expect(seen[u]).To(BeFalse(), "never twice to the same upstream")
					seen[u] = true
				}
			})
		})
	}
}

// A hedge must answer within the target: it starts while time is left.
func TestHedgeStartsBeforeTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		f := &fleet{n: 2, answer: func(ctx context.Context, _ string, n int) (*Answer, error) {
			if n == 1 {
				return hang(ctx)
			}
			time.Sleep(25 * time.Millisecond)
			return ok()
		}}
		_, _, err := serve(f, safe)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", safe.TargetLatency))
	})
}

func TestNoUpstreamIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		_, _, err := serve(&fleet{}, safe)
		g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
		g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(BeZero())
	})
}
