package dispatch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// mutableDirectory is a Directory from which upstreams can be removed.
type mutableDirectory struct {
	mu   sync.Mutex
	list []upstream.Announcement
}

func (d *mutableDirectory) Service(string) []upstream.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.list)
}

func (d *mutableDirectory) remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = slices.DeleteFunc(d.list, func(a upstream.Announcement) bool { return a.ID == id })
}

// Guards against an owed job that waits for ever for an upstream that died in the middle of
// its answer without closing the connection. An upstream that is still listed may pause, and
// one that is no longer listed may go on sending.
func TestOwedJobLeavesSilentUnlistedUpstream(t *testing.T) {
	const longer = silenceTimeout + 3*time.Second
	g := NewWithT(t)
	f := newRecordingFleet(t, 3, func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		for time.Since(began) < longer && r.Context().Err() == nil {
			if r.Header.Get("X-Upstream") == "u2" || time.Since(began) < time.Second {
				_, _ = io.WriteString(w, ".")
				w.(http.Flusher).Flush()
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	dir := &mutableDirectory{list: f.list}
	d := New("a", dir, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	errs := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, u := range []string{"u0", "u1", "u2"} {
		job := owedJob("on " + u)
		for _, other := range f.list {
			if other.ID != u {
				job.Exclude = append(job.Exclude, other.ID)
			}
		}
		wg.Go(func() {
			err := d.Run(context.Background(), job, func(resp *http.Response, _ upstream.Announcement) error {
				_, err := io.Copy(io.Discard, resp.Body)
				return Delivered(err)
			})
			mu.Lock()
			defer mu.Unlock()
			errs[u] = err
		})
	}
	g.Eventually(f.attemptsByRequest, "2s", "5ms").Should(HaveLen(3))
	dir.remove("u1")
	dir.remove("u2")
	wg.Wait()
	g.Expect(errs["u0"]).NotTo(HaveOccurred(), "silent, but listed")
	g.Expect(result.CodeOf(errs["u1"])).To(Equal(result.UpstreamFailed), "silent and not listed")
	g.Expect(errs["u2"]).NotTo(HaveOccurred(), "not listed, but sending")
}

// A stalled stream that sends a byte or a comment now and then must not hold an owed job, and
// a slow but sound one must not be cut.
func TestOwedJobLeavesStreamWithoutEvents(t *testing.T) {
	for _, c := range []struct {
		name, pieces string
		interval     time.Duration
		ends         bool
	}{
		{"byte by byte", "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 200 * time.Millisecond, false},
		{"comments", ": ping\n\n", 50 * time.Millisecond, false},
		{"events, each slower than most", "data: x\n\n", 300 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			began := time.Now()
			f := newRecordingFleet(t, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for i := 0; time.Since(began) < silenceTimeout+5*time.Second && r.Context().Err() == nil; i++ {
					_, _ = w.Write([]byte{c.pieces[i%len(c.pieces)]})
					w.(http.Flusher).Flush()
					time.Sleep(c.interval)
				}
			})
			dir := &mutableDirectory{list: f.list}
			d := New("a", dir, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
			time.AfterFunc(time.Second, func() { dir.remove("u0") })
			err := d.Run(context.Background(), owedJob("x"), func(resp *http.Response, _ upstream.Announcement) error {
				_, err := io.Copy(io.Discard, resp.Body)
				return Delivered(err)
			})
			if c.ends {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(result.CodeOf(err)).To(Equal(result.UpstreamFailed))
			g.Expect(time.Since(began)).To(BeNumerically("<", silenceTimeout+3*time.Second))
		})
	}
}
