package proxy

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/workload"
)

// Guards against failed, cancelled and refused attempts that teach how much work a request
// needs, against streams whose work counts as done at their first bytes, and against a choice by
// work of upstreams that do not state how slow they are.
func TestOnlySuccessTeachesTheWorkOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var lines bytes.Buffer
		outcome := "answer"
		f := &fakeUpstreams{n: 2, respond: func(ctx context.Context, _ string, _ int) (*Answer, error) {
			switch outcome {
			case "fails":
				return failWith(result.UpstreamFailed)
			case "cancelled":
				return waitForCancel(ctx)
			case "refused":
				return &Answer{Status: 404}, nil
			}
			time.Sleep(300 * time.Millisecond)
			return &Answer{Status: 200, Stream: map[bool]io.ReadCloser{true: io.NopCloser(strings.NewReader("x"))}[outcome == "stream"]}, nil
		}}
		c := chooser.New(f)
		c.Workloads = chooser.NewWorkloads(log.New(io.Discard))
		p := New(log.New(&lines), "z", c, f, &fakeUsage{}, &fakeCrashTracker{})
		serve := func(o string, read time.Duration) (line string) {
			lines.Reset()
			outcome = o
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			defer cancel()
			a, _ := p.Serve(ctx, &Request{ID: "r", Account: "one", Service: "s", Route: &nonIdempotentRoute, Deadline: time.Now().Add(2 * time.Second)})
			if a != nil && a.Stream != nil {
				time.Sleep(read)
				_, _ = io.ReadAll(a.Stream)
			}
			a.Discard()
			synctest.Wait()
			return lines.String()
		}
		g.Expect(serve("answer", 0)).NotTo(ContainSubstring("expected_ms"), "no load is stated")
		for _, u := range f.Service("s") {
			c.Workloads.Reported(workload.Report{Upstream: u, Slots: 6, Slowness: 1})
		}
		for _, o := range []string{"fails", "cancelled", "refused"} {
			serve(o, 0)
		}
		g.Expect(serve("answer", 0)).To(And(ContainSubstring("expected_ms=164 "), ContainSubstring("actual_ms=300")), "the prior")
		for range 20 {
			serve("stream", 300*time.Millisecond)
		}
		g.Expect(serve("answer", 0)).To(MatchRegexp("expected_ms=(5[5-9]|6[0-9])[0-9] "))
	})
}
