package rollout_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/standin"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// bench is a manager over engines in this process and a control log that never
// fails.
type bench struct {
	mu      sync.Mutex
	state   *state.State
	live    []upstream.Announcement
	manager *rollout.Manager
	crashes atomic.Int32
}

func (b *bench) Service(string) []upstream.Announcement { return b.live }
func (b *bench) Config() *state.Config                  { return b.state.Config }
func (b *bench) Fresh() bool                            { return true }
func (b *bench) Changed() <-chan struct{}               { return nil }
func (b *bench) Add(string, string, int64, int64)       {}

func (b *bench) Members(context.Context, control.MembersRequest) (control.MembersReply, error) {
	return control.MembersReply{}, nil
}

func (b *bench) Propose(_ context.Context, c state.Command) (state.Outcome, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Apply(c), nil
}

func (b *bench) Query(_ context.Context, q control.QueryRequest) (control.QueryReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return control.QueryReply{Step: b.state.StepView(q.Step)}, nil
}

func newBench(t testing.TB, engines ...standin.Options) *bench {
	b := &bench{state: state.New()}
	b.state.Config.Services = map[string]state.Service{"s": {Name: "s", Parsed: &document.Service{Owner: "a"}}}
	for i, o := range engines {
		o.ID = fmt.Sprint("e", i)
		o.Concurrency = 8
		o.Version = 1
		u := standin.NewUpstream(o)
		srv := httptest.NewServer(standin.Engine{Upstream: u}.Handler())
		u.Crash = func() {
			b.crashes.Add(1)
			srv.Listener.Close()
			srv.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		t.Cleanup(srv.Close)
		b.live = append(b.live, upstream.Announcement{ID: o.ID, Service: "s", Address: srv.Listener.Addr().String(), Concurrency: 8, Version: 1})
	}
	d := dispatch.New("a", b, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	b.manager = rollout.NewManager("o", "", b, b, d, nil, b, log.New(io.Discard))
	return b
}

// step takes a whole step.
func (b *bench) step(t testing.TB, groups, tokens int) []rollout.Sample {
	g := NewWithT(t)
	ctx := context.Background()
	q := rollout.StepRequest{ID: "x", Attempt: 1, PerGroup: 8, MaxTokens: tokens, Groups: make([]rollout.Group, groups)}
	for i := range q.Groups {
		q.Groups[i].Messages = fmt.Appendf(nil, `"%d"`, i)
	}
	_, err := b.manager.Open(ctx, "a", b.state.Config.Services["s"], q)
	g.Expect(err).NotTo(HaveOccurred())
	var out []rollout.Sample
	for {
		r, err := b.manager.FetchSamples(ctx, rollout.FetchRequest{Step: "a/x", Attempt: 1, After: len(out), Limit: 256, Wait: 30 * time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		if r.Done {
			return out
		}
		out = append(out, r.Samples...)
	}
}

// A sample whose upstream dies goes on from its tokens at another one: every
// token comes once, in order and with its label.
func TestSampleGoesOnFromItsTokens(t *testing.T) {
	g := NewWithT(t)
	cutting := standin.Options{TokenTime: time.Millisecond, Faults: standin.Faults{CutEvery: 2}}
	b := newBench(t, cutting, standin.Options{TokenTime: time.Millisecond})
	spans := 0
	for _, s := range b.step(t, 4, 32) {
		words := strings.Fields(s.Text)
		g.Expect(s.Tokens()).To(Equal(len(words)))
		for i, w := range words {
			g.Expect(w).To(Equal(fmt.Sprintf("t%d@1", i)))
		}
		if len(s.Upstreams) > 1 {
			spans++
		}
	}
	g.Expect(spans).To(BeNumerically(">", 0))
}

// A prompt that crashes every upstream costs two of them at most and does not keep
// its step from ending: its samples come as failed, each once.
func TestCrashingPromptFailsAlone(t *testing.T) {
	g := NewWithT(t)
	o := standin.Options{TokenTime: time.Millisecond, Faults: standin.Faults{CrashOn: `"messages":"1"`}}
	failed := map[int]int{}
	b := newBench(t, o, o, o)
	for _, s := range b.step(t, 3, 16) {
		if s.Failed == result.Quarantined {
			failed[s.Group]++
			continue
		}
		g.Expect(s.Tokens()).To(BeNumerically(">", 0))
	}
	g.Expect(failed).To(Equal(map[int]int{1: 8}))
	g.Expect(b.crashes.Load()).To(BeNumerically("<=", 2), "upstreams lost")
}

// Samples that move have the lengths that they would have had anyway.
func TestMovingDoesNotChangeLengths(t *testing.T) {
	g := NewWithT(t)
	lengths := func(moves int, o standin.Options) (map[[2]int]int, int) {
		b := newBench(t, o, o)
		b.manager.MaxMoves = moves
		out, spans := map[[2]int]int{}, 0
		for _, s := range b.step(t, 4, 100) {
			out[[2]int{s.Group, s.Index}] = s.Tokens()
			spans += len(s.Upstreams) - 1
		}
		return out, spans
	}
	plain, _ := lengths(0, standin.Options{TokenTime: time.Millisecond})
	some, moved := lengths(2, standin.Options{TokenTime: 4 * time.Millisecond, Faults: standin.Faults{SlowEvery: 8}})
	g.Expect(moved).To(BeNumerically(">", 0))
	g.Expect(some).To(Equal(plain))
}

// BenchmarkStragglers measures a step of 128 samples over 4 engines, with one of
// 16 requests ten times slower, or one engine of 4.
func BenchmarkStragglers(b *testing.B) {
	fast := standin.Options{TokenTime: 5 * time.Millisecond}
	some := fast
	some.SlowEvery = 16
	slow := standin.Options{TokenTime: 50 * time.Millisecond}
	for name, engines := range map[string][]standin.Options{
		"none":        {fast, fast, fast, fast},
		"requests":    {some, some, some, some},
		"oneUpstream": {fast, fast, fast, slow},
	} {
		for _, moves := range []int{0, 2} {
			b.Run(fmt.Sprintf("%s/moves=%d", name, moves), func(b *testing.B) {
				for range b.N {
					x := newBench(b, engines...)
					x.manager.MaxMoves = moves
					tokens, spans := 0, 0
					for _, s := range x.step(b, 16, 200) {
						tokens += s.Tokens()
						spans += len(s.Upstreams) - 1
					}
					b.ReportMetric(float64(tokens)/128, "tokens/sample")
					b.ReportMetric(float64(spans), "moves")
				}
			})
		}
	}
}
