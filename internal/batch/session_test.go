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

// stubFailingScorer answers every reward request with a failure of the upstream.
type stubFailingScorer struct{ limit int }

func (stubFailingScorer) Score(context.Context, *state.Reward, ScoreLimits) (string, error) {
	return "", result.New(result.SampleFailed, "500")
}

func (f stubFailingScorer) MaxFailures(*state.Reward) int { return f.limit }

func (stubFailingScorer) Timeout(*state.Reward) time.Duration { return time.Second }

// An item whose reward request fails on every upstream is aborted after exactly as many
// failures as the route of the reward request allows. A lower limit of the batch job's own
// route must not apply, since the item would then be aborted before the last upstream has
// been tried.
func TestItemIsAbortedAfterMaxRewardFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSession(&Runner{scorer: stubFailingScorer{limit: 4}, log: log.New(io.Discard)}, 1)
		s.resultCommitter = newCommitter(nil, s.log)
		job := testJob("j", 1, 1, time.Now())
		job.Batch.MaxAttempts = 3
		job.Batch.Items[0].Reward = &state.Reward{ID: "r"}
		s.scheduler.Update([]OpenJob{job})
		it := s.scheduler.jobs["j"].items[0]
		it.phase = phaseRewarding
		s.score(t.Context(), it)
		for range 3 {
			s.handleRewardResult(t.Context(), <-s.rewardResult)
			g.Expect(s.resultCommitter.queue).To(BeEmpty())
		}
		s.handleRewardResult(t.Context(), <-s.rewardResult)
		g.Expect(s.resultCommitter.queue).To(HaveLen(1))
		g.Expect((<-s.resultCommitter.queue).result.Aborted).To(BeTrue())
		s.wg.Wait()
	})
}

// fakeReplica is a replica whose leader lease can lapse without a newer term.
type fakeReplica struct {
	mu     sync.Mutex
	lapsed bool
	term   uint64
	jobs   []control.OpenBatch
	change chan struct{}
}

func (r *fakeReplica) set(lapsed bool, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapsed, r.term = lapsed, term
}

func (r *fakeReplica) Leadership() control.Leadership {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsed {
		return control.Leadership{}
	}
	return control.Leadership{Term: r.term, Until: time.Now().Add(200 * time.Millisecond)}
}

func (r *fakeReplica) OpenBatches(context.Context) ([]control.OpenBatch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs, nil
}

func (r *fakeReplica) BatchesChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change
}

// open replaces the open batch jobs.
func (r *fakeReplica) open(jobs ...control.OpenBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = jobs
	close(r.change)
	r.change = make(chan struct{})
}

func (r *fakeReplica) Propose(context.Context, control.ProposeRequest) (state.Outcome, error) {
	return state.Outcome{}, nil
}

// stubPool has one engine with one slot.
type stubPool struct{}

func (stubPool) Known() []upstream.Announcement {
	return []upstream.Announcement{{ID: "e", Service: "s"}}
}
func (stubPool) Loading(string) bool                              { return false }
func (stubPool) Versions(upstream.Announcement) map[string]uint64 { return map[string]uint64{"m": 3} }
func (stubPool) Slots(upstream.Announcement) int                  { return 1 }
func (stubPool) RecordDemand(string, int, uint64)                 {}
func (stubPool) Seen(string, string, uint64)                      {}
func (stubPool) Turns(upstream.Announcement) (int, bool)          { return 0, false }
func (stubPool) TakeTurn(upstream.Announcement)                   {}
func (stubPool) Uneven(string) bool                               { return false }

// fakeEndlessEngines generates events until the attempt is cancelled, and counts attempts.
type fakeEndlessEngines struct{ started, stopped atomic.Int32 }

func (e *fakeEndlessEngines) Generate(ctx context.Context, _ upstream.Announcement, _ GenerateRequest, emit func(Event)) error {
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

// A leader that lacks CPU time may lose its lease for a moment in which no other replica can
// become leader. Its attempts continue, and it starts no new ones. They are cancelled when
// the lease is not renewed, or at once when another term has begun.
func TestAttemptsSurviveAShortLeaseLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		job := testJob("j", 1, 2, time.Now())
		job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
		replica := &fakeReplica{term: 1, jobs: []control.OpenBatch{control.OpenBatch(job)}, change: make(chan struct{})}
		engines := &fakeEndlessEngines{}
		ctx, cancel := context.WithCancel(t.Context())
		r := NewRunner(replica, stubPool{}, engines, stubFailingScorer{}, log.New(io.Discard))
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(time.Second)
		g.Expect(engines.started.Load()).To(Equal(int32(1)))

		replica.set(true, 1)
		time.Sleep(leaseLapseGrace / 2)
		replica.set(false, 1)
		time.Sleep(time.Second)
		g.Expect(engines.stopped.Load()).To(BeZero(), "a short lapse")

		replica.set(true, 1)
		time.Sleep(2 * leaseLapseGrace)
		g.Expect(engines.stopped.Load()).To(Equal(int32(1)), "a long lapse")
		replica.set(false, 1)
		time.Sleep(time.Second)
		g.Expect(engines.started.Load()).To(Equal(int32(2)))
		replica.set(false, 2)
		time.Sleep(leaseLapseGrace / 2)
		g.Expect(engines.stopped.Load()).To(Equal(int32(2)), "another term")
		cancel()
		<-done
	})
}

// fakeFleetPool has many engines with six slots each, and counts the calls of Known.
type fakeFleetPool struct {
	stubPool
	engines   int
	listCalls atomic.Int32
}

func (p *fakeFleetPool) Known() []upstream.Announcement {
	p.listCalls.Add(1)
	var out []upstream.Announcement
	for i := range p.engines {
		out = append(out, upstream.Announcement{ID: fmt.Sprint("e", i), Service: "s"})
	}
	return out
}

func (*fakeFleetPool) Slots(upstream.Announcement) int { return 6 }

// fakeShortEngines ends each generation after 100 ms.
type fakeShortEngines struct{ done atomic.Int32 }

func (e *fakeShortEngines) Generate(_ context.Context, _ upstream.Announcement, _ GenerateRequest, emit func(Event)) error {
	time.Sleep(100 * time.Millisecond)
	emit(Event{ID: 1, Version: 3})
	e.done.Add(1)
	return nil
}

// With all slots of a large fleet in use, items waiting, and more than a thousand attempts
// ending per second, the number of schedulings is bounded. Slots still stay in use for most
// of the time.
func TestSchedulingRateIsBoundedWithManyEndedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		job := testJob("j", 1000, 8, time.Now())
		job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
		replica := &fakeReplica{term: 1, jobs: []control.OpenBatch{control.OpenBatch(job)}, change: make(chan struct{})}
		p, engines := &fakeFleetPool{engines: 30}, &fakeShortEngines{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		defer func() { cancel(); <-done }()
		go func() {
			defer close(done)
			NewRunner(replica, p, engines, stubFailingScorer{}, log.New(io.Discard)).Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		g.Expect(p.listCalls.Load()).To(BeNumerically("<=", 2*(time.Second/scheduleInterval)+40))
		g.Expect(engines.done.Load()).To(BeNumerically(">=", 30*6*2*10*8/10))
	})
}

// waitingScorer keeps reward requests waiting, as for a free slot, until their context ends.
type waitingScorer struct{ waiting, ended atomic.Int32 }

func (w *waitingScorer) Score(ctx context.Context, _ *state.Reward, _ ScoreLimits) (string, error) {
	w.waiting.Add(1)
	<-ctx.Done()
	w.ended.Add(1)
	return "", ctx.Err()
}

func (*waitingScorer) MaxFailures(*state.Reward) int { return 1 }

func (*waitingScorer) Timeout(*state.Reward) time.Duration { return time.Second }

// Guards against reward requests that outlive their batch job: those of an ended job end at once,
// also between two attempts, and those of another job go on.
func TestRewardRequestsEndWithTheirBatchJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		open := func(id string) control.OpenBatch {
			job := testJob(id, 5, 2, time.Now())
			job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
			for i := range job.Batch.Items {
				job.Batch.Items[i].Reward = &state.Reward{ID: job.Batch.Items[i].ID}
			}
			return control.OpenBatch(job)
		}
		replica := &fakeReplica{term: 1, jobs: []control.OpenBatch{open("ends"), open("goes-on")}, change: make(chan struct{})}
		scorer := &waitingScorer{}
		ctx, cancel := context.WithCancel(t.Context())
		r := NewRunner(replica, &fakeFleetPool{engines: 8}, &fakeShortEngines{}, scorer, log.New(io.Discard))
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		time.Sleep(2 * time.Second)
		g.Expect(scorer.waiting.Load()).To(Equal(int32(20)))
		g.Expect(scorer.ended.Load()).To(BeZero())

		replica.open(replica.jobs[1:]...)
		time.Sleep(scheduleInterval)
		g.Expect(scorer.ended.Load()).To(Equal(int32(10)), "reward requests of the ended job")
		time.Sleep(2 * time.Second)
		g.Expect(scorer.waiting.Load()).To(Equal(int32(20)), "none of them is sent again")
		g.Expect(scorer.ended.Load()).To(Equal(int32(10)))
		cancel()
		<-done
	})
}
