package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

type noBroadcast struct{}

func (noBroadcast) Broadcast(string, any) {}

func (noBroadcast) ConfirmAll(context.Context, string, any, time.Duration) (member.ZoneReply, error) {
	return member.ZoneReply{}, nil
}

// Guards against retries and hedges to an upstream that has said in the answer to another
// request that it leaves, while the first attempt of this one was under way.
func TestRetriesAndHedgesAvoidADepartedUpstream(t *testing.T) {
	for name, respond := range map[string]func(ctx context.Context) (*Answer, error){
		"retry after a failure":   func(context.Context) (*Answer, error) { return failWith(result.UpstreamFailed) },
		"retry after a rejection": func(context.Context) (*Answer, error) { return failWith(result.UpstreamBusy) },
		"retry after a 500":       func(context.Context) (*Answer, error) { return &Answer{Status: 500}, nil },
		"hedge":                   waitForCancel,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dir := upstream.NewDirectory(noBroadcast{})
			both := []upstream.Announcement{}
			for _, id := range []string{"u0", "u1"} {
				a := upstream.Announcement{ID: id, Incarnation: 1, Seq: 1, Service: "s", Address: "10.0.0." + id[1:] + ":80", Zone: "z", Class: upstream.ClassRegular, Concurrency: 6, TTL: 10}
				g.Expect(dir.Announce(a)).To(Succeed())
				both = append(both, a)
			}
			recorder := upstream.DepartureRecorder{Directory: dir, Log: log.New(io.Discard)}
			upstreams := &fakeUpstreams{respond: func(ctx context.Context, id string, _ int) (*Answer, error) {
				for _, a := range both {
					if a.ID != id {
						recorder.Observe(upstream.Sighting{Upstream: a, Request: "other", Status: 200})
					}
				}
				return respond(ctx)
			}}
			p := New(log.New(io.Discard), "z", chooser.New(upstream.KnownDirectory{Directory: dir}), upstreams, &fakeUsage{}, &fakeCrashTracker{})
			q := &Request{ID: "r", Route: &idempotentRoute, Service: "s", Method: http.MethodPost, Target: "/", Deadline: time.Now().Add(300 * time.Millisecond)}
			_, _ = p.Serve(context.Background(), q)
			upstreams.mu.Lock()
			defer upstreams.mu.Unlock()
			g.Expect(upstreams.sent).To(HaveLen(1))
		})
	}
}
