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

	"github.com/apricotstream/apricotstream/internal/chooser"
	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/dispatch"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/forward"
	"github.com/apricotstream/apricotstream/internal/quarantine"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/standin"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// simFleet is a Manager with engines in this process and a control log that never fails.
type simFleet struct {
	mu      sync.Mutex
	state   *state.State
	live    []upstream.Announcement
	manager *rollout.Manager
	crashes atomic.Int32
}

func (sim *simFleet) Service(string) []upstream.Announcement { return sim.live }
func (sim *simFleet) Config() *state.Config                  { return sim.state.Config }
func (sim *simFleet) Fresh() bool                            { return true }
func (sim *simFleet) Changed() <-chan struct{}               { return nil }
func (sim *simFleet) Add(string, string, int64, int64)       {}

func (sim *simFleet) Members(context.Context, control.MembersRequest) (control.MembersReply, error) {
	return control.MembersReply{}, nil
}

func (sim *simFleet) Propose(_ context.Context, c state.Command) (state.Outcome, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.state.Apply(c), nil
}

func (sim *simFleet) Query(_ context.Context, q control.QueryRequest) (control.QueryReply, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return control.QueryReply{Step: sim.state.StepView(q.Step)}, nil
}

func newSimFleet(t testing.TB, engines ...standin.Options) *simFleet {
	sim := &simFleet{state: state.New()}
	sim.state.Config.Services = map[string]state.Service{"s": {Name: "s", Parsed: &document.Service{Owner: "a"}}}
	for i, o := range engines {
		o.ID = fmt.Sprint("e", i)
		o.Concurrency = 8
		o.Version = 1
		u := standin.NewUpstream(o)
		srv := httptest.NewServer(standin.Engine{Upstream: u}.Handler())
		u.Crash = func() {
			sim.crashes.Add(1)
			srv.Listener.Close()
			srv.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		t.Cleanup(srv.Close)
		sim.live = append(sim.live, upstream.Announcement{ID: o.ID, Service: "s", Address: srv.Listener.Addr().String(), Concurrency: 8, Version: 1})
	}
	sim.dispatchTo(sim)
	return sim
}

// dispatchTo replaces the manager by one that sends requests to the engines of dir.
func (sim *simFleet) dispatchTo(dir chooser.Directory) {
	d := dispatch.New("a", dir, forward.New(), quarantine.NewTable(time.Now, nil), noop.NewTracerProvider().Tracer(""))
	sim.manager = rollout.NewManager("o", "", sim, sim, d, nil, sim, log.New(io.Discard))
}

// fetchStep opens a step and returns all its samples.
func (sim *simFleet) fetchStep(t testing.TB, groups, tokens int) []rollout.Sample {
	var out []rollout.Sample
	sim.fetchEach(t, groups, tokens, func(s rollout.Sample) { out = append(out, s) })
	return out
}

// fetchEach opens a step and calls receive with each sample as it arrives, until the step
// ends.
func (sim *simFleet) fetchEach(t testing.TB, groups, tokens int, receive func(rollout.Sample)) {
	g := NewWithT(t)
	ctx := context.Background()
	q := rollout.StepRequest{ID: "x", Attempt: 1, PerGroup: 8, MaxTokens: tokens, Groups: make([]rollout.Group, groups)}
	for i := range q.Groups {
		q.Groups[i].Messages = fmt.Appendf(nil, `"%d"`, i)
	}
	_, err := sim.manager.Open(ctx, "a", sim.state.Config.Services["s"], q)
	g.Expect(err).NotTo(HaveOccurred())
	received := 0
	for {
		r, err := sim.manager.FetchSamples(ctx, rollout.FetchRequest{Step: "a/x", Attempt: 1, After: received, Limit: 256, Wait: 30 * time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		if r.Done {
			return
		}
		for _, s := range r.Samples {
			receive(s)
		}
		received += len(r.Samples)
	}
}

// A sample whose upstream fails resumes at another upstream. Every token is delivered once,
// in order and with its weight version.
func TestSampleResumesAfterUpstreamFailure(t *testing.T) {
	g := NewWithT(t)
	cutting := standin.Options{TokenTime: time.Millisecond, Faults: standin.Faults{CutEvery: 2}}
	sim := newSimFleet(t, cutting, standin.Options{TokenTime: time.Millisecond})
	resumed := 0
	for _, s := range sim.fetchStep(t, 4, 32) {
		words := strings.Fields(s.Text)
		g.Expect(s.Tokens()).To(Equal(len(words)))
		for i, w := range words {
			g.Expect(w).To(Equal(fmt.Sprintf("t%d@1", i)))
		}
		if len(s.Upstreams) > 1 {
			resumed++
		}
	}
	g.Expect(resumed).To(BeNumerically(">", 0))
}

// Samples that move to another upstream have the same lengths as without moves.
func TestMovesDoNotChangeSampleLengths(t *testing.T) {
	g := NewWithT(t)
	lengths := func(moves int, o standin.Options) (map[[2]int]int, int) {
		sim := newSimFleet(t, o, o)
		sim.manager.MaxMoves = moves
		out, moveCount := map[[2]int]int{}, 0
		for _, s := range sim.fetchStep(t, 4, 100) {
			out[[2]int{s.Group, s.Index}] = s.Tokens()
			moveCount += len(s.Upstreams) - 1
		}
		return out, moveCount
	}
	withoutMoves, _ := lengths(0, standin.Options{TokenTime: time.Millisecond})
	// What a busy machine adds to each token must stay small beside the time of a token.
	withMoves, moved := lengths(2, standin.Options{TokenTime: 40 * time.Millisecond, Faults: standin.Faults{SlowEvery: 8}})
	g.Expect(moved).To(BeNumerically(">", 0))
	g.Expect(withMoves).To(Equal(withoutMoves))
}

// BenchmarkStragglers measures a step of 128 samples on 4 engines, in which nothing, one of
// 16 requests or one of the engines is ten times slower.
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
					x := newSimFleet(b, engines...)
					x.manager.MaxMoves = moves
					tokens, moveCount := 0, 0
					for _, s := range x.fetchStep(b, 16, 200) {
						tokens += s.Tokens()
						moveCount += len(s.Upstreams) - 1
					}
					b.ReportMetric(float64(tokens)/128, "tokens/sample")
					b.ReportMetric(float64(moveCount), "moves")
				}
			})
		}
	}
}
