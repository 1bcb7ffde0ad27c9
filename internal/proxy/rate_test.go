package proxy

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/ratecap"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// leadingKeeper returns the keeper of a daemon that leads, with some upstreams of fakeUpstreams
// that name a rate.
func leadingKeeper(rate string, ids ...string) *ratecap.Keeper {
	k := ratecap.NewKeeper(ratecap.Deployment{
		Daemon: "d", Leads: func() (uint64, bool) { return 1, true }, Replicas: func() []string { return nil }, Daemons: func() int { return 1 },
		Broadcast: func(string, any) {}, Gone: func(string, int64) bool { return false },
	}, log.New(io.Discard))
	for _, id := range ids {
		k.Answered(ratecap.Answer{Upstream: upstream.Announcement{ID: id}, SentAt: time.Now(), Named: []string{rate}})
	}
	return k
}

// rateProxy returns a proxy to upstreams some of which name a rate.
func rateProxy(f *fakeUpstreams, rate string, ids ...string) *Proxy {
	c := chooser.New(f)
	c.Rates = leadingKeeper(rate, ids...)
	return New(log.New(io.Discard), "z", c, f, &fakeUsage{}, &fakeCrashTracker{})
}

func rateRequest(background bool) *Request {
	return &Request{ID: "r", Route: &idempotentRoute, Service: "s", Method: "POST", Target: "/", Background: background, Deadline: time.Now().Add(time.Second)}
}

// Guards against callers who wait until their time is up for upstreams that are all at the
// rates that they name, and who are told to return at the same moment: they are rejected as
// not run at once, and return at no more than the rate.
func TestCallersAreToldWhenToReturnToUpstreamsAtTheirRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeUpstreams{n: 2, respond: func(context.Context, string, int) (*Answer, error) { return okResponse() }}
		p := rateProxy(f, "2", "u0", "u1")
		var returns []time.Duration
		began := time.Now()
		for range 8 {
			sentAt := time.Now()
			_, err := p.Serve(context.Background(), rateRequest(false))
			if err == nil {
				continue
			}
			g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
			g.Expect(err.Error()).To(ContainSubstring("rates that they name"))
			g.Expect(time.Since(sentAt)).To(BeNumerically("<=", time.Duration(rateWaitShare*float64(idempotentRoute.TargetLatency))))
			returns = append(returns, time.Since(began)+result.From(err).RetryAfter)
		}
		g.Expect(len(returns)).To(BeNumerically(">=", 4))
		g.Expect(slices.IsSorted(returns)).To(BeTrue())
		for i := 1; i < 4; i++ {
			g.Expect(returns[i] - returns[i-1]).To(BeNumerically(">=", 200*time.Millisecond))
		}
	})
}

// Guards against reward requests that fail or are tried all the time while upstreams are at
// their rates: they wait for their turn.
func TestBackgroundWorkWaitsForUpstreamsAtTheirRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeUpstreams{n: 1, respond: func(context.Context, string, int) (*Answer, error) { return okResponse() }}
		p := rateProxy(f, "4", "u0")
		began := time.Now()
		for range 4 {
			_, err := p.Serve(context.Background(), rateRequest(true))
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(time.Since(began)).To(BeNumerically("~", 750*time.Millisecond, 100*time.Millisecond))
	})
}

// Guards against retries and hedges that go to an upstream beyond its rate: with one that
// fails and one that is at its rate, the request ends with the failure.
func TestRetriesAndHedgesKeepToTheRate(t *testing.T) {
	for name, respond := range map[string]func(ctx context.Context) (*Answer, error){
		"retry": func(context.Context) (*Answer, error) { return failWith(result.UpstreamFailed) },
		"hedge": waitForCancel,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := &fakeUpstreams{n: 2, respond: func(ctx context.Context, u string, _ int) (*Answer, error) {
					if u == "u1" {
						return respond(ctx)
					}
					return okResponse()
				}}
				p := rateProxy(f, "0.1", "u0")
				for range 20 {
					_, _ = p.Serve(context.Background(), rateRequest(false))
					synctest.Wait()
				}
				limited := slices.DeleteFunc(slices.Clone(f.sent), func(u string) bool { return u != "u0" })
				g.Expect(len(limited)).To(BeNumerically("<=", 4), "of 20 requests within a few seconds")
			})
		})
	}
}

// Guards against a request that was paused between its token and its sending, and is sent
// when the token has run out.
func TestRequestIsNotSentWithATokenThatHasRunOut(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	g.Expect(chooser.Choice{}.Expired(now)).To(BeFalse(), "no token is needed")
	g.Expect(chooser.Choice{SendBy: now.Add(time.Millisecond)}.Expired(now)).To(BeFalse())
	g.Expect(chooser.Choice{SendBy: now}.Expired(now)).To(BeTrue())
}
