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

func TestRetryBudgetBoundsRetries(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		b, requests, retries := RetryBudget{}, 0, 0
		for _, wants := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 300).Draw(rt, "wants") {
			b.Deposit()
			requests++
			for range wants {
				if b.TryWithdraw() {
					retries++
				}
			}
			g.Expect(float64(retries)).To(BeNumerically("<=", retryReserveCount+retryRatio*float64(requests)+1e-6))
		}
	})
}

// recordingFleet is a Directory of HTTP test upstreams. It records which upstreams each
// request was sent to.
type recordingFleet struct {
	list     []upstream.Announcement
	mu       sync.Mutex
	attempts map[string][]string // ids of upstreams, by request id
}

func (f *recordingFleet) Service(string) []upstream.Announcement { return f.list }

func (f *recordingFleet) attemptsByRequest() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.attempts)
}

func newRecordingFleet(t *testing.T, n int, serve http.HandlerFunc) *recordingFleet {
	f := &recordingFleet{attempts: map[string][]string{}}
	for i := range n {
		id := fmt.Sprint("u", i)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			name := r.Header.Get(forward.HeaderRequestID)
			f.mu.Lock()
			f.attempts[name] = append(f.attempts[name], id)
			f.mu.Unlock()
			w.Header().Set(forward.HeaderRequestID, name)
			r.Header.Set("X-Upstream", id) // for serve
			serve(w, r)
		}))
		t.Cleanup(s.Close)
		f.add(id, strings.TrimPrefix(s.URL, "http://"))
	}
	return f
}

func (f *recordingFleet) add(id, address string) {
	f.list = append(f.list, upstream.Announcement{ID: id, Address: address, Concurrency: 1000, Incarnation: 1})
}

func (f *recordingFleet) dispatcher() *Dispatcher {
	return New("a", f, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
}

func newJob(id string, idempotent bool) Job {
	return Job{Service: "s", Fingerprint: id, Idempotent: idempotent, Out: forward.Outgoing{
		RequestID: id, Method: http.MethodPost, Path: "/", Body: []byte("b"), FreshConnection: !idempotent,
	}}
}

func acceptResponse(*http.Response, upstream.Announcement) error { return nil }

// When all upstreams of a service fail, there are at most retryRatio times as many retries
// as requests, plus retryReserveCount, and every error carries a retry delay.
func TestRetriesAddBoundedLoadWhenAllUpstreamsFail(t *testing.T) {
	g := NewWithT(t)
	f := newRecordingFleet(t, 4, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	d := f.dispatcher()
	const requests = 200
	for i := range requests {
		err := d.Run(context.Background(), newJob(fmt.Sprint("r", i), true), acceptResponse)
		g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
	}
	sent := 0
	for id, us := range f.attemptsByRequest() {
		sent += len(us)
		for i, u := range us {
			g.Expect(us[:i]).NotTo(ContainElement(u), "request %s was sent twice to one upstream", id)
		}
	}
	g.Expect(sent).To(BeNumerically("<=", requests*(1+retryRatio)+retryReserveCount))
	g.Expect(sent).To(BeNumerically(">", requests))
}

// After a refused connection any request is sent to the next upstream, because it did not
// run. A non-idempotent request that may have run is not sent again.
func TestNonIdempotentRequestIsRetriedOnlyWhenNotRun(t *testing.T) {
	g := NewWithT(t)
	f := newRecordingFleet(t, 1, func(http.ResponseWriter, *http.Request) {})
	f.add("dead-1", "127.0.0.1:1")
	f.add("dead-2", "127.0.0.1:1")
	d := f.dispatcher()
	for i := range 20 {
		g.Expect(d.Run(context.Background(), newJob(fmt.Sprint("ok", i), false), acceptResponse)).To(Succeed())
	}
	f = newRecordingFleet(t, 3, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	err := f.dispatcher().Run(context.Background(), newJob("once", false), acceptResponse)
	g.Expect(result.CodeOf(err)).To(Equal(result.UpstreamFailed))
	g.Expect(result.From(err).RetryAfter).To(BeZero())
	g.Expect(f.attemptsByRequest()["once"]).To(HaveLen(1))
}

// A suspect request runs on an upstream without other requests of its entry. No other
// requests are sent there meanwhile. The suspicion ends if the upstream does not crash.
func TestSuspectRequestRunsAlone(t *testing.T) {
	g := NewWithT(t)
	unblock := make(chan struct{})
	f := newRecordingFleet(t, 4, func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get(forward.HeaderRequestID), "held") {
			<-unblock
		}
	})
	d := f.dispatcher()
	d.quarantine.RecordCrash("held suspect", "u9", 1)
	var wg sync.WaitGroup
	start := func(id string) {
		wg.Go(func() { _ = d.Run(context.Background(), newJob(id, true), acceptResponse) })
		g.Eventually(f.attemptsByRequest, "2s", "1ms").Should(HaveKey(id))
	}
	start("held 1")
	start("held 2")
	start("held suspect")
	reserved := f.attemptsByRequest()["held suspect"][0]
	g.Expect(f.attemptsByRequest()["held 1"]).NotTo(ContainElement(reserved))
	g.Expect(f.attemptsByRequest()["held 2"]).NotTo(ContainElement(reserved))
	for i := range 40 {
		id := fmt.Sprint("other ", i)
		g.Expect(d.Run(context.Background(), newJob(id, true), acceptResponse)).To(Succeed())
		g.Expect(f.attemptsByRequest()[id]).NotTo(ContainElement(reserved))
	}
	close(unblock)
	wg.Wait()
	g.Expect(d.quarantine.Record("held suspect").Suspect()).To(BeFalse())
	g.Expect(d.quarantine.Reserved()).To(BeEmpty())
}
