package batch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// failing answers every reward request with a failure of the upstream.
type failing struct{ limit int }

func (failing) Score(context.Context, *state.Reward, time.Time) (string, error) {
	return "", result.New(result.SampleFailed, "500")
}

func (f failing) MaxFailures(*state.Reward) int { return f.limit }

// A reward request that fails at every upstream: the item is given up after as
// many failures as the route of the reward request allows runs, and not before,
// even where the batch job's own route allows fewer and one upstream is left.
func TestItemIsGivenUpAfterAllRunsOfItsRewardRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSession(&Runner{scorer: failing{limit: 4}, log: log.New(io.Discard)}, 1)
		s.commit = newCommitter(nil, s.log)
		job := jobOf("j", 1, 1, time.Now())
		job.Batch.MaxAttempts = 3
		job.Batch.Items[0].Reward = &state.Reward{ID: "r"}
		s.plan.Update([]OpenJob{job})
		it := s.plan.jobs["j"].items[0]
		it.phase = rewarding
		s.score(t.Context(), it)
		for range 3 {
			s.takeScore(t.Context(), <-s.scored)
			g.Expect(s.commit.queue).To(BeEmpty())
		}
		s.takeScore(t.Context(), <-s.scored)
		g.Expect(s.commit.queue).To(HaveLen(1))
		g.Expect((<-s.commit.queue).result.Aborted).To(BeTrue())
		s.wg.Wait()
	})
}

// lapsing is a replica whose lease may lapse while it goes on leading its term.
type lapsing struct {
	mu     sync.Mutex
	lapsed bool
	term   uint64
	jobs   []control.OpenBatch
	change chan struct{}
}

func (l *lapsing) set(lapsed bool, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapsed, l.term = lapsed, term
}

func (l *lapsing) Leadership() control.Leadership {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lapsed {
		return control.Leadership{}
	}
	return control.Leadership{Term: l.term, Until: time.Now().Add(200 * time.Millisecond)}
}

func (l *lapsing) OpenBatches(context.Context) ([]control.OpenBatch, error) { return l.jobs, nil }
func (l *lapsing) BatchesChanged() <-chan struct{}                          { return l.change }

func (l *lapsing) Propose(context.Context, control.ProposeRequest) (state.Outcome, error) {
	return state.Outcome{}, nil
}

// onePool is one engine with one slot.
type onePool struct{}

func (onePool) Known() []upstream.Announcement {
	return []upstream.Announcement{{ID: "e", Service: "s"}}
}
func (onePool) Loading(string) bool                              { return false }
func (onePool) Versions(upstream.Announcement) map[string]uint64 { return map[string]uint64{"m": 3} }
func (onePool) Slots(upstream.Announcement) int                  { return 1 }
func (onePool) RecordDemand(string, int, uint64)                 {}
func (onePool) Seen(string, string, uint64)                      {}

// endless generates until it is stopped and counts its runs.
type endless struct{ started, stopped atomic.Int32 }

func (e *endless) Generate(ctx context.Context, _ upstream.Announcement, _ GenerateRequest, emit func(Event)) error {
	e.started.Add(1)
	defer e.stopped.Add(1)
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
			emit(Event{ID: n, Version: 3})
		}
	}
}

// A leader short of processor time loses its lease for moments in which no other
// can lead. Its runs go on; it starts none meanwhile. They end when the lease stays
// away, or at once when another term has begun.
func TestRunsSurviveAShortLapseOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		job := jobOf("j", 1, 2, time.Now())
		job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
		replica := &lapsing{term: 1, jobs: []control.OpenBatch{control.OpenBatch(job)}, change: make(chan struct{})}
		engines := &endless{}
		ctx, cancel := context.WithCancel(t.Context())
		r := NewRunner(replica, onePool{}, engines, failing{}, log.New(io.Discard))
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(time.Second)
		g.Expect(engines.started.Load()).To(Equal(int32(1)))

		replica.set(true, 1)
		time.Sleep(lapseGrace / 2)
		replica.set(false, 1)
		time.Sleep(time.Second)
		g.Expect(engines.stopped.Load()).To(BeZero(), "a short lapse")

		replica.set(true, 1)
		time.Sleep(2 * lapseGrace)
		g.Expect(engines.stopped.Load()).To(Equal(int32(1)), "a long lapse")
		replica.set(false, 1)
		time.Sleep(time.Second)
		g.Expect(engines.started.Load()).To(Equal(int32(2)))
		replica.set(false, 2)
		time.Sleep(lapseGrace / 2)
		g.Expect(engines.stopped.Load()).To(Equal(int32(2)), "another term")
		cancel()
		<-done
	})
}

// manyPool is a fleet of engines with six slots each; it counts the looks at it.
type manyPool struct {
	onePool
	engines int
	looks   atomic.Int32
}

func (p *manyPool) Known() []upstream.Announcement {
	p.looks.Add(1)
	var out []upstream.Announcement
	for i := range p.engines {
		out = append(out, upstream.Announcement{ID: fmt.Sprint("e", i), Service: "s"})
	}
	return out
}

func (*manyPool) Slots(upstream.Announcement) int { return 6 }

// brief ends each generation after a tenth of a second.
type brief struct{ done atomic.Int32 }

func (e *brief) Generate(_ context.Context, _ upstream.Announcement, _ GenerateRequest, emit func(Event)) error {
	time.Sleep(100 * time.Millisecond)
	emit(Event{ID: 1, Version: 3})
	e.done.Add(1)
	return nil
}

// All slots of a large fleet are taken, items wait, and runs end more than a thousand
// times a second: the engines are looked at a bounded number of times, and the slots
// hardly stand empty for it.
func TestPlanningIsBoundedWhileAThousandRunsEndEachSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		job := jobOf("j", 1000, 8, time.Now())
		job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
		replica := &lapsing{term: 1, jobs: []control.OpenBatch{control.OpenBatch(job)}, change: make(chan struct{})}
		p, engines := &manyPool{engines: 30}, &brief{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		defer func() { cancel(); <-done }()
		go func() { defer close(done); NewRunner(replica, p, engines, failing{}, log.New(io.Discard)).Run(ctx) }()
		time.Sleep(2 * time.Second)
		g.Expect(p.looks.Load()).To(BeNumerically("<=", 2*(time.Second/planInterval)+40))
		g.Expect(engines.done.Load()).To(BeNumerically(">=", 30*6*2*10*8/10))
	})
}
