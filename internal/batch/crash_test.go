package batch

import (
	"context"
	"io"
	"sync"
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

const (
	testOutage     = 500 * time.Millisecond // after a crash of a fakeCrashingEngines
	testItemEvents = 20                     // events of an item
)

// fakeCrashingEngines generates testItemEvents events, 10 ms each. The engine that runs the
// item named unlucky crashes after half of its next events, as long as crashes are left. It
// refuses connections for testOutage after that.
type fakeCrashingEngines struct {
	unlucky string

	mu      sync.Mutex
	crashes int
	lastAt  time.Time
	upAt    map[string]time.Time
}

func (e *fakeCrashingEngines) down(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.upAt[id])
}

func (e *fakeCrashingEngines) mayCrash(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashes == 0 {
		return false
	}
	e.crashes--
	e.lastAt = time.Now()
	e.upAt[id] = e.lastAt.Add(testOutage)
	return true
}

func (e *fakeCrashingEngines) Generate(_ context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	if e.down(to.ID) {
		return result.New(result.UpstreamUnreached, "connection refused")
	}
	for n := g.LastEventID + 1; n <= testItemEvents; n++ {
		time.Sleep(10 * time.Millisecond)
		if e.down(to.ID) || g.ID == e.unlucky && n >= (g.LastEventID+testItemEvents)/2 && e.mayCrash(to.ID) {
			return result.New(result.AnswerCut, "connection reset")
		}
		emit(Event{ID: n, Version: 3})
	}
	return nil
}

// resultReplica records the results that are committed.
type resultReplica struct {
	fakeReplica
	results map[string]time.Time // time of the commit, by item
	aborted int
}

func (r *resultReplica) Propose(_ context.Context, q control.ProposeRequest) (state.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range q.Command.BatchRecord.Results {
		r.results[x.Item] = time.Now()
		if x.Aborted {
			r.aborted++
		}
	}
	return state.Outcome{}, nil
}

// Guards against an item that is not placed again after a burst of crashes: eight engines
// crash one after the other under the same sound item. Once all is calm the item must be
// complete within a few seconds, although each engine has crashed under it.
func TestItemIsPlacedAgainAfterABurstOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		job := testJob("j", 4, 4, time.Now())
		job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
		replica := &resultReplica{
			fakeReplica: fakeReplica{term: 1, jobs: []control.OpenBatch{control.OpenBatch(job)}, change: make(chan struct{})},
			results:     map[string]time.Time{},
		}
		engines := &fakeCrashingEngines{unlucky: "j-1-2", crashes: 8, upAt: map[string]time.Time{}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewRunner(replica, &fakeFleetPool{engines: 4}, engines, stubFailingScorer{}, log.New(io.Discard)).Run(ctx)
		}()
		time.Sleep(time.Minute)
		cancel()
		<-done
		g.Expect(engines.crashes).To(BeZero())
		g.Expect(replica.results).To(HaveLen(16))
		g.Expect(replica.aborted).To(BeZero())
		for item, at := range replica.results {
			g.Expect(at.Sub(engines.lastAt)).To(BeNumerically("<", 3*time.Second), item)
		}
	})
}

// fakeHangingEngines generates testItemEvents events, 10 ms each. The engines in hung accept
// requests and send nothing.
type fakeHangingEngines struct{ hung map[string]bool }

func (e *fakeHangingEngines) Generate(ctx context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	if e.hung[to.ID] {
		<-ctx.Done()
		return ctx.Err()
	}
	for n := g.LastEventID + 1; n <= testItemEvents; n++ {
		time.Sleep(10 * time.Millisecond)
		emit(Event{ID: n, Version: 3})
	}
	return nil
}

// Guards against an item that goes back and forth between engines that hang, while others
// have room: an item must be tried at every engine in turn, and an engine that has sent
// nothing must not get the next item at once.
func TestItemLeavesHungEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		job := testJob("j", 4, 4, time.Now())
		job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
		replica := &resultReplica{
			fakeReplica: fakeReplica{term: 1, jobs: []control.OpenBatch{control.OpenBatch(job)}, change: make(chan struct{})},
			results:     map[string]time.Time{},
		}
		engines := &fakeHangingEngines{hung: map[string]bool{"e0": true, "e1": true, "e2": true}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		began := time.Now()
		go func() {
			defer close(done)
			NewRunner(replica, &fakeFleetPool{engines: 9}, engines, stubFailingScorer{}, log.New(io.Discard)).Run(ctx)
		}()
		time.Sleep(time.Minute)
		cancel()
		<-done
		g.Expect(replica.results).To(HaveLen(16))
		for item, at := range replica.results {
			g.Expect(at.Sub(began)).To(BeNumerically("<", 2*firstEventTimeout), item)
		}
	})
}

// Guards against an item that is never placed again because the engines with the weight
// version of its partial output are gone: it must begin anew on an engine with another
// version, at once if that is newer, else after versionWait. While an engine that announces
// itself holds the version, the item waits for it.
func TestSingleVersionItemBeginsAnewWhenItsVersionIsLost(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		name   string
		silent bool          // the engine with the version is still listed, as silent
		others uint64        // version of the other engines
		wait   time.Duration // until the item begins anew
	}{
		{name: "withdrawn", others: 5},
		{name: "silent", silent: true, others: 5},
		{name: "others are older", others: 3, wait: versionWait},
	} {
		scheduler := NewScheduler()
		j := testJob("j", 1, 1, noon)
		j.Batch.SingleVersion = true
		scheduler.Update([]OpenJob{j})
		it := scheduler.jobs["j"].items[0]
		it.appendEvent(Event{ID: 1, Data: "x", Version: 4})
		engines := testEngines(2, 8)
		engines[0].Versions["m"], engines[1].Versions["m"] = 4, c.others
		engines[0].BackingOff = true
		g.Expect(scheduler.Schedule(noon, engines)).To(BeEmpty(), c.name)
		now := noon.Add(time.Minute)
		if c.silent {
			engines[0].Upstream.Silent = true
		} else {
			engines = engines[1:]
		}
		if c.wait > 0 {
			g.Expect(scheduler.Schedule(now, engines)).To(BeEmpty(), c.name)
			now = now.Add(c.wait)
		}
		g.Expect(countByEngine(scheduler.Schedule(now, engines))).To(Equal(map[string]int{"e1": 1}), c.name)
		g.Expect(it.lastEventID).To(BeZero())
		g.Expect(it.events).To(BeEmpty())
	}
}
