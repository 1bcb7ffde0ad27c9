package batch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/overlong"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

const (
	testEventBytes = 1 << 10 // data of an event of an upstream in trouble
	// testEndlessEvents stands for a stream without end: 64 MB.
	testEndlessEvents = 1 << 16
)

// fakeTroubledEngines generates testItemEvents events. The engine e0 is in trouble: it
// sends valid events until the attempt is cancelled.
type fakeTroubledEngines struct {
	attempts atomic.Int32 // at e0
	emitted  atomic.Int32 // most events of an attempt at e0
}

func (e *fakeTroubledEngines) Generate(ctx context.Context, to upstream.Announcement, g GenerateRequest, emit func(Event)) error {
	if to.ID != "e0" {
		for n := g.LastEventID + 1; n <= testItemEvents; n++ {
			time.Sleep(10 * time.Millisecond)
			emit(Event{ID: n, Data: fmt.Sprint("d", n), Version: 3})
		}
		return nil
	}
	e.attempts.Add(1)
	for n := 1; n <= testEndlessEvents; n++ {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		emit(Event{ID: g.LastEventID + n, Data: strings.Repeat("x", testEventBytes), Version: 3})
		e.emitted.Store(max(e.emitted.Load(), int32(n)))
	}
	return nil
}

// recordingReplica keeps the results that are proposed.
type recordingReplica struct {
	*fakeReplica
	mu      sync.Mutex
	results []state.BatchResult
}

func (r *recordingReplica) Propose(_ context.Context, q control.ProposeRequest) (state.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, q.Command.BatchRecord.Results...)
	return state.Outcome{}, nil
}

// An upstream in trouble sent valid events without end. Each of them reset the watchdog of
// the attempt, and all were kept and committed: 1,533 MB in 3 s. The attempt is cut at the
// bound that follows from the item's tokens; the item is completed elsewhere with sound
// events alone, and is not sent to that upstream again and again.
func TestValidEventsWithoutEndAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		job := testJob("j", 1, 1, time.Now())
		job.Batch.Items[0].Tokens = 2000
		job.Batch.RunDeadline, job.Batch.ItemTTL = time.Hour, time.Hour
		replica := &recordingReplica{fakeReplica: &fakeReplica{term: 1, jobs: []control.OpenBatch{control.OpenBatch(job)}, change: make(chan struct{})}}
		engines := &fakeTroubledEngines{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			NewRunner(replica, &fakeFleetPool{engines: 3}, engines, stubFailingScorer{}, log.New(io.Discard)).Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		g.Expect(replica.results).To(HaveLen(1))
		want := make([]string, testItemEvents)
		for i := range want {
			want[i] = fmt.Sprint("d", i+1)
		}
		g.Expect(strings.Split(replica.results[0].Text, "\n")).To(Equal(want))
		g.Expect(engines.attempts.Load()).To(Equal(int32(1)), "the first choice, and no further one")
		g.Expect(int(engines.emitted.Load()) * testEventBytes).To(BeNumerically("<=", 2000*overlong.MaxBytesPerToken+testEventBytes))
	})
}

// The events of an attempt that exceeded the limit are dropped, also those that were
// committed while it ran: the next leader must not resume from them. Sound events of earlier
// attempts are kept, until the third such attempt in a row shows that they may be at fault.
func TestOverlongOutputIsDroppedAndEarlierEventsAreKept(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	job := testJob("j", 1, 1, noon)
	job.Batch.Retention = 1 << 40
	s.Apply(state.Command{At: noon, BatchAccept: &state.BatchAccept{Batch: *job.Batch}})
	scheduler := NewScheduler()
	scheduler.Update([]OpenJob{job})
	it := scheduler.jobs["j"].items[0]
	for _, e := range testEvents(1, 10, 3) {
		it.appendEvent(e)
	}
	committedEvents := func() int { return len(s.Ledger.Batches["j"].Partial["j-0-0"].Events) }
	commit := func(p *state.BatchProgress) {
		s.Apply(state.Command{At: noon, BatchRecord: &state.BatchRecord{Progress: []state.BatchProgress{*p}}})
	}
	for n := 1; n <= maxOverlongAttempts; n++ {
		a := newAttempt(t.Context(), 1, it, upstream.Announcement{ID: "e0"}, &outputBudget{})
		for _, e := range testEvents(11, 100, 3) {
			a.appendEvent(e)
		}
		commit(it.takeProgress(a.eventsSoFar()))
		g.Expect(committedEvents()).To(Equal(110))
		for _, e := range testEvents(111, overlong.MinTokens, 3) {
			a.appendEvent(e)
		}
		g.Expect(result.CodeOf(context.Cause(a.ctx))).To(Equal(result.AnswerCut))
		g.Expect(a.eventsSoFar()).To(BeEmpty())
		g.Expect(it.takeProgress(a.eventsSoFar())).To(BeNil())
		commit(it.dropOverlong())
		if n < maxOverlongAttempts {
			g.Expect(it.events).To(HaveLen(10))
			g.Expect(committedEvents()).To(Equal(10))
		}
	}
	g.Expect(it.lastEventID).To(BeZero())
	g.Expect(committedEvents()).To(BeZero())
}

func TestOutputLimitFollowsFromTokens(t *testing.T) {
	g := NewWithT(t)
	small, none, large := limitOf(&state.BatchItem{Tokens: 10}), limitOf(&state.BatchItem{}), limitOf(&state.BatchItem{Tokens: 1 << 30})
	g.Expect(small).To(Equal(none))
	g.Expect(none).To(Equal(outputLimit{events: overlong.MinTokens, bytes: overlong.MinTokens * overlong.MaxBytesPerToken}))
	g.Expect(large.bytes).To(BeNumerically("~", control.MaxResultBytes, overlong.MaxBytesPerToken))
}
