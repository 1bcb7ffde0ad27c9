package batch

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// scriptedEngines emits events at a pace until the script ends or the attempt is cancelled.
type scriptedEngines struct {
	events         int
	pace           time.Duration
	err            error // after the last event
	started, ended atomic.Int32
}

func (e *scriptedEngines) Generate(ctx context.Context, _ upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	e.started.Add(1)
	defer e.ended.Add(1)
	for n := g.LastEventID + 1; n <= e.events; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(e.pace):
			emit(Event{ID: n, Data: "x", Version: 3})
		}
	}
	return e.err
}

// oneCarrier places everything on one carrier until that does not respond.
type oneCarrier struct {
	mu      sync.Mutex
	address string
}

func (p *oneCarrier) CarrierOf(upstream.Announcement, *homes.Homes) string {
	return p.ScorerFor("", nil)
}

func (p *oneCarrier) ScorerFor(string, *homes.Homes) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

func (p *oneCarrier) Carriers() []string {
	if a := p.ScorerFor("", nil); a != "" {
		return []string{a}
	}
	return nil
}

func (p *oneCarrier) Unresponsive(string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = ""
}

// carried is a leader and a carrier on loopback.
type carried struct {
	leader  *Carriers
	carrier *Carrier
	place   *oneCarrier
	engines *scriptedEngines
	stop    func() // ends the carrier's connections, as a cut does
}

func newCarried(t *testing.T, engines *scriptedEngines) *carried {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	listen := func() (net.Listener, *peer.Client, *peer.Server) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		client, server := peer.NewClient(peer.DialFrom("")), peer.NewServer()
		t.Cleanup(func() { l.Close(); server.Close(); client.Close() })
		return l, client, server
	}
	t.Cleanup(cancel)
	x := &carried{engines: engines}
	l, client, server := listen()
	x.carrier = NewCarrier(client, l.Addr().String(), 7, maxRetainedBytes, engines, stubFailingScorer{}, logger)
	x.carrier.Register(server)
	go server.Serve(ctx, l)
	go x.carrier.Run(ctx)
	x.place = &oneCarrier{address: l.Addr().String()}
	x.stop = func() { l.Close(); server.Close(); client.Close() }
	ll, leaderClient, leaderServer := listen()
	x.leader = NewCarriers(leaderClient, ll.Addr().String(), 1, x.place, &scriptedEngines{}, stubFailingScorer{limit: 3}, logger)
	x.leader.Register(leaderServer)
	go leaderServer.Serve(ctx, ll)
	go x.leader.Run(ctx)
	return x
}

// generate runs one attempt and returns the number of events and the error.
func (x *carried) generate(ctx context.Context, counts *atomic.Int32) (int, error) {
	n, lastID := 0, 0
	g := GenerateRequest{ID: "i", Term: 1, Deadline: time.Now().Add(time.Minute), MaxEvents: 1000, MaxBytes: 1 << 20, Progress: func(c int) {
		if counts != nil {
			counts.Store(int32(c))
		}
	}}
	err := x.leader.Generate(ctx, upstream.Announcement{ID: "u"}, g, func(e Event) {
		n++
		if e.ID != lastID+1 {
			panic("an event is missing or came twice")
		}
		lastID = e.ID
	})
	return n, err
}

func TestCarriedRunDeliversEachEventOnce(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{events: 120, pace: 5 * time.Millisecond})
	var counts atomic.Int32
	n, err := x.generate(t.Context(), &counts)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(120))
	g.Expect(counts.Load()).To(BeNumerically(">", 0), "progress is reported while the run goes on")
}

func TestCarriedRunReturnsTheErrorOfTheEngine(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{events: 3, err: result.New(result.SampleFailed, "500")})
	n, err := x.generate(t.Context(), nil)
	g.Expect(n).To(Equal(3))
	g.Expect(result.CodeOf(err)).To(Equal(result.SampleFailed))
}

// A moved item must not begin elsewhere while its run still holds the engine.
func TestCancelledRunEndsAtTheCarrierBeforeGenerateReturns(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{events: 10000, pace: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(300*time.Millisecond, cancel)
	began := time.Now()
	n, err := x.generate(ctx, nil)
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond))
	g.Expect(x.engines.ended.Load()).To(Equal(int32(1)))
	g.Expect(n).To(BeNumerically(">", 5), "the events until then are kept")
}

// The leader cannot tell a dead carrier from one that it does not reach: the run counts as
// ended only when its permit has run out, and by then it has ended.
func TestLostCarrierHasEndedItsRunWhenTheLeaderGoesOn(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{events: 10000, pace: 10 * time.Millisecond})
	time.AfterFunc(300*time.Millisecond, x.stop)
	began := time.Now()
	_, err := x.generate(t.Context(), nil)
	g.Expect(result.CodeOf(err)).To(Equal(result.SampleMoved))
	g.Expect(x.engines.ended.Load()).To(Equal(int32(1)))
	g.Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond+permitDuration+time.Second))
	g.Expect(x.place.ScorerFor("", nil)).To(BeEmpty())
}

func TestDrainingCarrierHandsItsRunsBackWithTheirEvents(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{events: 10000, pace: 10 * time.Millisecond})
	time.AfterFunc(400*time.Millisecond, x.carrier.Drain)
	n, err := x.generate(t.Context(), nil)
	g.Expect(result.CodeOf(err)).To(Equal(result.SampleMoved))
	g.Expect(n).To(BeNumerically(">", 5))
	_, err = x.generate(t.Context(), nil)
	g.Expect(result.CodeOf(err)).To(Equal(result.SampleMoved))
	g.Expect(x.engines.started.Load()).To(Equal(int32(1)))
}

// A carrier that was restarted while it had no runs refuses the next one, which has a permit for
// the process before. The one after that must be run again.
// slowScorer takes some time for each reward request, as its route allows.
type slowScorer struct {
	stubFailingScorer
	takes, timeout time.Duration
}

func (s slowScorer) Score(ctx context.Context, _ *state.Reward, _ ScoreLimits) (string, error) {
	select {
	case <-time.After(s.takes):
		return "signed", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (s slowScorer) Timeout(*state.Reward) time.Duration { return s.timeout }

// Guards against a reward request that never ends on a large deployment, because its carrier has
// less time for it than its route.
func TestCarriedRewardRequestHasTheTimeOfItsRoute(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{})
	slow := slowScorer{takes: minCarriedScore + 200*time.Millisecond, timeout: 2 * minCarriedScore}
	x.carrier.scorer, x.leader.scorer = slow, slow
	signature, err := x.leader.Score(t.Context(), &state.Reward{ID: "r"}, ScoreLimits{Deadline: time.Now().Add(time.Minute)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(signature).To(Equal("signed"))
}

// limitsScorer records the limits of reward requests.
type limitsScorer struct {
	stubFailingScorer
	limits chan ScoreLimits
}

func (s limitsScorer) Score(_ context.Context, _ *state.Reward, l ScoreLimits) (string, error) {
	s.limits <- l
	return "signed", nil
}

// Guards against a reward request that a partition has held up on its way to the carrier, and that
// runs when its batch job has long ended.
func TestRewardRequestThatReachesItsCarrierLateDoesNotBegin(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{})
	scorer := limitsScorer{limits: make(chan ScoreLimits, 1)}
	x.carrier.scorer = scorer
	score := func() ScoreLimits {
		_, err := x.leader.Score(t.Context(), &state.Reward{ID: "r"}, ScoreLimits{Deadline: time.Now().Add(time.Minute)})
		g.Expect(err).NotTo(HaveOccurred())
		return <-scorer.limits
	}
	g.Expect(time.Until(score().StartBy)).To(BeNumerically(">", 0))
	x.leader.mu.Lock()
	x.leader.carriers[x.place.CarrierOf(upstream.Announcement{}, nil)].offset.offset -= 12 * time.Second // as if sent that long ago
	x.leader.mu.Unlock()
	g.Expect(time.Until(score().StartBy)).To(BeNumerically("<", 0))
}

func TestRestartedCarrierIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{events: 3})
	address := x.place.CarrierOf(upstream.Announcement{}, nil)
	_, err := x.generate(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	x.leader.mu.Lock()
	x.leader.carriers[address].offset.incarnation-- // what the leader knows is of the process before
	x.leader.mu.Unlock()
	_, err = x.generate(t.Context(), nil)
	g.Expect(result.CodeOf(err)).To(Equal(result.SampleMoved))
	x.place.address = address // responsive again
	n, err := x.generate(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(3))
}

// Guards against output that a new leader misses because runs of the earlier one are still at work, and
// against a deposed leader that ends runs or goes on with them.
func TestCollectionEndsTheRunsOfEarlierTerms(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{events: 10000, pace: 10 * time.Millisecond})
	run := func(term uint64) error {
		q := GenerateRequest{ID: "i", Job: "j", Term: term, Deadline: time.Now().Add(time.Minute), MaxEvents: 1000, MaxBytes: 1 << 20}
		return x.leader.Generate(t.Context(), upstream.Announcement{ID: "u", Service: "s", Software: "v1"}, q, func(Event) {})
	}
	ended := make(chan error, 1)
	go func() { ended <- run(1) }()
	time.Sleep(600 * time.Millisecond) // events are acknowledged meanwhile
	got := x.leader.Collect(t.Context(), 2, []string{"j"})
	g.Expect(x.engines.ended.Load()).To(Equal(int32(1)))
	g.Expect(result.CodeOf(<-ended)).To(Equal(result.SampleMoved))
	g.Expect(got.Answered).To(Equal(1))
	g.Expect(got.Outputs).To(HaveLen(1))
	o := got.Outputs[0]
	g.Expect(o.Item).To(Equal("i"))
	g.Expect(o.Upstream.Software).To(Equal("v1"))
	g.Expect(o.Complete).To(BeFalse())
	g.Expect(len(o.Events)).To(BeNumerically(">", 30))
	g.Expect(o.contiguous()).To(BeTrue(), "from the first event on")
	g.Expect(x.leader.Collect(t.Context(), 2, []string{"k"}).Outputs).To(BeEmpty())

	old := x.leader.Collect(t.Context(), 1, []string{"j"})
	g.Expect(old.Answered).To(BeZero())
	g.Expect(old.Missing).To(HaveLen(1))
	g.Expect(result.CodeOf(run(1))).To(Equal(result.SampleMoved))
	g.Expect(x.engines.started.Load()).To(Equal(int32(1)))
}

func TestCarriedRewardRequestKeepsItsFailure(t *testing.T) {
	g := NewWithT(t)
	x := newCarried(t, &scriptedEngines{})
	_, err := x.leader.Score(t.Context(), &state.Reward{ID: "r"}, ScoreLimits{Deadline: time.Now().Add(time.Second)})
	g.Expect(result.CodeOf(err)).To(Equal(result.SampleFailed))
	x.stop()
	_, err = x.leader.Score(t.Context(), &state.Reward{ID: "r"}, ScoreLimits{Deadline: time.Now().Add(time.Second)})
	g.Expect(result.CodeOf(err)).To(Equal(result.UpstreamFailed))
}
