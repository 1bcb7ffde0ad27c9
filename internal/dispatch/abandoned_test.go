package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Guards against a request that crashes its upstream just after its time is up or its caller has
// left, and is not suspected. A sound one whose upstream runs on is not.
func TestCrashJustAfterTheEndOfARequestCounts(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		s := &http.Server{}
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(forward.HeaderRequestID, r.Header.Get(forward.HeaderRequestID))
			_, _ = w.Write([]byte("the beginning"))
			w.(http.Flusher).Flush()
			time.Sleep(120 * time.Millisecond)
			if crashes {
				_ = s.Close()
			}
		})
		go func() { _ = s.Serve(l) }()
		table := quarantine.NewTable(time.Now, nil)
		list := staleList{{ID: "u", Service: "s", Address: l.Addr().String(), Zone: "a", Class: upstream.ClassRegular, Concurrency: 4}}
		d := New("a", list, forward.NewOver((&net.Dialer{}).DialContext), table, noop.NewTracerProvider().Tracer(""))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		job := Job{Service: "s", Fingerprint: "f", Idempotent: true, Out: forward.Outgoing{RequestID: "q", Method: http.MethodGet, Path: "/"}}
		g.Expect(d.Run(ctx, job, func(resp *http.Response, _ upstream.Announcement) error {
			_, err := io.Copy(io.Discard, resp.Body)
			return err
		})).NotTo(Succeed())
		cancel()
		if crashes {
			g.Eventually(func() bool { return table.Record("f").Suspect() }, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
		} else {
			g.Consistently(func() bool { return table.Record("f").Suspect() }, 2*upstream.AbandonedCheckDelay, 10*time.Millisecond).Should(BeFalse())
		}
		_ = s.Close()
	}
}
