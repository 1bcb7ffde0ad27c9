package dispatch

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/testkit"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

func TestRetriesStayWithinTheBudget(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		b, requests, retries := Budget{}, 0, 0
		for _, wants := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 300).Draw(rt, "wants") {
			b.Request()
			requests++
			for range wants {
				if b.Retry() {
					retries++
				}
			}
			g.Expect(float64(retries)).To(BeNumerically("<=", retryReserve+retryShare*float64(requests)+1e-6))
		}
	})
}

// fleet is a Directory of HTTP upstreams that logs who got what.
type fleet struct {
	list []upstream.Announcement
	mu   sync.Mutex
	got  map[string][]string // upstreams by request
}

func (f *fleet) Service(string) []upstream.Announcement { return f.list }

func (f *fleet) seen() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.got)
}

func newFleet(t *testing.T, n int, serve http.HandlerFunc) *fleet {
	f := &fleet{got: map[string][]string{}}
	for i := range n {
		id := fmt.Sprint("u", i)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			name := r.Header.Get(forward.HeaderRequestID)
			f.mu.Lock()
			f.got[name] = append(f.got[name], id)
			f.mu.Unlock()
			w.Header().Set(forward.HeaderRequestID, name)
			serve(w, r)
		}))
		t.Cleanup(s.Close)
		f.add(id, strings.TrimPrefix(s.URL, "http://"))
	}
	return f
}

func (f *fleet) add(id, address string) {
	f.list = append(f.list, upstream.Announcement{ID: id, Address: address, Concurrency: 1000, Incarnation: 1})
}

func (f *fleet) dispatcher() *Dispatcher {
	return New("a", f, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
}

func job(id string, idempotent bool) Job {
	return Job{Service: "s", Fingerprint: id, Idempotent: idempotent, Out: forward.Outgoing{
		RequestID: id, Method: http.MethodPost, Path: "/", Body: []byte("b"), FreshConnection: !idempotent,
	}}
}

func accept(*http.Response, upstream.Announcement) error { return nil }

// A service whose upstreams all fail gets few more requests than callers send,
// and callers are told at once when to come back.
func TestFailingFleetIsNotDoubledInLoad(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 4, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	d := f.dispatcher()
	const requests = 200
	for i := range requests {
		err := d.Run(context.Background(), job(fmt.Sprint("r", i), true), accept)
		g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
	}
	sent := 0
	for id, us := range f.seen() {
		sent += len(us)
		for i, u := range us {
			g.Expect(us[:i]).NotTo(ContainElement(u), "request %s came twice to one upstream", id)
		}
	}
	g.Expect(sent).To(BeNumerically("<=", requests*(1+retryShare)+retryReserve))
	g.Expect(sent).To(BeNumerically(">", requests))
}

// A refused connection is no run: any request goes on to the next upstream. A
// request that may have run and must not run twice is not sent again.
func TestOnlyWhatSurelyDidNotRunIsRetried(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 1, func(http.ResponseWriter, *http.Request) {})
	f.add("dead-1", "127.0.0.1:1")
	f.add("dead-2", "127.0.0.1:1")
	d := f.dispatcher()
	for i := range 20 {
		g.Expect(d.Run(context.Background(), job(fmt.Sprint("ok", i), false), accept)).To(Succeed())
	}
	f = newFleet(t, 3, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	err := f.dispatcher().Run(context.Background(), job("once", false), accept)
	g.Expect(result.CodeOf(err)).To(Equal(result.UpstreamFailed))
	g.Expect(result.From(err).RetryAfter).To(BeZero())
	g.Expect(f.seen()["once"]).To(HaveLen(1))
}

// A suspect runs where nothing else of its entry runs, nothing else is sent
// there meanwhile, and it is cleared when it does no harm.
func TestSuspectRunsAlone(t *testing.T) {
	g := NewWithT(t)
	hold := make(chan struct{})
	f := newFleet(t, 4, func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get(forward.HeaderRequestID), "held") {
			<-hold
		}
	})
	d := f.dispatcher()
	d.quarantine.RecordCrash("held suspect", "u9", 1)
	var wg sync.WaitGroup
	start := func(id string) {
		wg.Go(func() { _ = d.Run(context.Background(), job(id, true), accept) })
		g.Eventually(f.seen, "2s", "1ms").Should(HaveKey(id))
	}
	start("held 1")
	start("held 2")
	start("held suspect")
	own := f.seen()["held suspect"][0]
	g.Expect(f.seen()["held 1"]).NotTo(ContainElement(own))
	g.Expect(f.seen()["held 2"]).NotTo(ContainElement(own))
	for i := range 40 {
		id := fmt.Sprint("other ", i)
		g.Expect(d.Run(context.Background(), job(id, true), accept)).To(Succeed())
		g.Expect(f.seen()[id]).NotTo(ContainElement(own))
	}
	close(hold)
	wg.Wait()
	g.Expect(d.quarantine.Record("held suspect").Suspect()).To(BeFalse())
	g.Expect(d.quarantine.Reserved()).To(BeEmpty())
}
