package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
)

// quarantineTracker counts each lost connection as a crash of the upstream.
type quarantineTracker struct{ table *quarantine.Table }

func (q quarantineTracker) Blocked(fingerprint string) bool {
	return q.table.Record(fingerprint).Blocked()
}

func (q quarantineTracker) ConnectionLost(_ *Request, fingerprint string, a Attempt) {
	q.table.RecordCrash(fingerprint, a.To.ID, a.To.Incarnation)
}

func (quarantineTracker) Abandoned(*Request, string, Attempt) {}

func (quarantineTracker) Survived(string) {}

// Guards against work handed in for later, such as the reward request of a batch item, that
// is never sent again because upstreams crashed while they ran it. A caller's request under
// which as many crashed stays blocked.
func TestBackgroundRequestIsSentAgainAfterCrashes(t *testing.T) {
	for _, background := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			const burst = 5
			upstreams := &fakeUpstreams{n: 6, respond: func(_ context.Context, _ string, sent int) (*Answer, error) {
				if sent <= burst {
					return failWith(result.UpstreamFailed)
				}
				return okResponse()
			}}
			tracker := quarantineTracker{quarantine.NewTable(time.Now, nil)}
			p := New(log.New(io.Discard), "z", chooser.New(upstreams), upstreams, &fakeUsage{}, tracker)
			var err error
			for range burst {
				q := &Request{ID: "r", Route: &idempotentRoute, Service: "s", Method: http.MethodPost, Target: "/", Background: background, Deadline: time.Now().Add(time.Second)}
				_, err = p.Serve(context.Background(), q)
				synctest.Wait()
				time.Sleep(150 * time.Millisecond)
			}
			if background {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(tracker.table.List()).To(BeEmpty())
				return
			}
			g.Expect(result.CodeOf(err)).To(Equal(result.Quarantined))
			g.Expect(upstreams.sent).To(HaveLen(2))
		})
	}
}
