package rollout

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Limits and intervals of the run of one step.
const (
	maxParallelSamples = 64 // generated concurrently for one step
	retryDelay         = 200 * time.Millisecond
	stragglerInterval  = 250 * time.Millisecond
	// trainerActiveTimeout is the time after the trainer's latest request in which stale
	// samples are discarded and generated again without waiting for the next request.
	trainerActiveTimeout = time.Minute
	// abandonedStepTTL is the time after the trainer's latest request at which the run of a
	// step ends.
	abandonedStepTTL = time.Hour
)

// run is a step at its owner: the stream and its lock, and the goroutines that generate
// and deliver samples.
type run struct {
	m       *Manager
	id      string
	request StepRequest
	ctx     context.Context
	cancel  context.CancelFunc

	// deliveryMu is locked while positions are committed or sent and while the step is
	// reopened or handed over, so that only one proposal is in flight.
	deliveryMu sync.Mutex
	handedOver atomic.Bool // whether the step was handed over to another owner

	mu            sync.Mutex
	step          state.Step // without Slots
	stream        *Stream
	changed       chan struct{} // closed and replaced at every change of stream
	running       int           // samples being generated
	lastRequestAt time.Time     // latest request of the trainer
	crashes       crashBackoff
	interrupted   map[int]partialSample // partial outputs that a crash has interrupted, by slot

	detectorMu    sync.Mutex // protects the fields below
	detector      *StragglerDetector
	cancelAttempt map[int]context.CancelCauseFunc // of the latest attempt, by slot
	avoided       slowUpstreams
}

func newRun(m *Manager, q StepRequest, s state.Step) *run {
	r := &run{
		m: m, id: s.ID, request: q, changed: make(chan struct{}), lastRequestAt: time.Now(),
		detector: NewStragglerDetector(m.MaxMoves), cancelAttempt: map[int]context.CancelCauseFunc{},
		stream: NewStream(s.Total, q.PerGroup, s.Slots, s.Acked), interrupted: map[int]partialSample{},
	}
	s.Slots = nil
	r.step = s
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// update calls f with the stream while mu is locked, and wakes everything that waits for a
// change.
func (r *run) update(f func(*Stream)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.stream)
	close(r.changed)
	r.changed = make(chan struct{})
}

// streamChanged returns a channel that is closed at the next change of the stream.
func (r *run) streamChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *run) current() state.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.step
}

// rewind applies a newer opening of the step.
func (r *run) rewind(s state.Step) {
	r.deliveryMu.Lock()
	defer r.deliveryMu.Unlock()
	r.update(func(st *Stream) {
		if s.Epoch <= r.step.Epoch {
			return
		}
		st.Rewind(s.Slots, s.Acked)
		s.Slots = nil
		r.step = s
		r.lastRequestAt = time.Now()
	})
}

// oldestAllowed returns the oldest weight version within the staleness bound according to
// this daemon's copy of the configuration. It only avoids useless work: the control log
// decides whether a sample is stale.
func (r *run) oldestAllowed() uint64 {
	return r.m.view.Config().OldestAllowed(r.current().Service)
}

// loop generates samples until the run is cancelled or the trainer has sent no request
// within abandonedStepTTL.
func (r *run) loop() {
	defer r.m.removeRun(r)
	defer r.cancel()
	for {
		changed := r.streamChanged()
		configChanged := r.m.view.Changed()
		if !r.maintain() {
			r.m.log.Warn("Stopped running the step because its trainer sent no requests.", "step", r.id)
			return
		}
		r.generateMore()
		r.moveStragglers()
		select {
		case <-r.ctx.Done():
			return
		case <-changed:
		case <-configChanged:
		case <-time.After(stragglerInterval):
		}
	}
}

// maintain drops stale samples while the trainer is active. It returns false if the trainer
// has sent no request within abandonedStepTTL.
func (r *run) maintain() bool {
	oldestAllowed := r.oldestAllowed()
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := time.Since(r.lastRequestAt)
	if idle < trainerActiveTimeout {
		samplesStale.Add(r.stream.DropStale(oldestAllowed))
	}
	return idle < abandonedStepTTL
}

// generateMore starts the generation of as many slots as possible.
func (r *run) generateMore() {
	for {
		slot, alone, ok := r.nextSlot()
		if !ok {
			return
		}
		go r.generate(slot, alone)
	}
}

// nextSlot returns a slot to generate and counts it as running. alone reports whether its
// sample must run alone on its upstream. ok is false if no slot may start or
// maxParallelSamples are running.
func (r *run) nextSlot() (slot int, alone, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= maxParallelSamples {
		return 0, false, false
	}
	now := time.Now()
	slot, ok = r.stream.Next(func(group int) bool { return r.crashes.mayStart(now, group) })
	if !ok {
		return 0, false, false
	}
	r.running++
	return slot, r.crashes.start(r.group(slot)), true
}

// group returns the group of a slot.
func (r *run) group(slot int) int { return slot / r.request.PerGroup }

// generate generates the sample of a slot and stores it in the stream. After an error the
// slot waits to be generated again. The partial output that a crash has interrupted is kept.
func (r *run) generate(slot int, alone bool) {
	step := r.current()
	g := r.generator(step, slot)
	g.alone = alone
	s, err := g.run(r.ctx)
	if err != nil {
		r.m.log.Debug("Could not generate the sample.", "step", r.id, "slot", slot, "err", err.Error())
		periodic.Pause(r.ctx, retryDelay)
	}
	r.update(func(st *Stream) {
		r.running--
		if alone {
			r.crashes.endAlone(r.group(slot))
		}
		if err != nil {
			if g.crashed.Load() {
				r.interrupted[slot] = g.partialSample
			}
			st.Failed(slot)
			return
		}
		r.crashes.recordCompletion(r.group(slot))
		st.Finished(slot, s)
	})
	if err == nil {
		r.m.usage.Add(step.Account, step.Service, 1, int64(s.Tokens()))
	}
}

// generator returns the generator for the sample of a slot. It avoids slow upstreams and
// reports the progress to the straggler detector.
func (r *run) generator(step state.Step, slot int) *generator {
	group := r.request.Groups[r.group(slot)]
	var avoid []string
	r.withDetector(func(now time.Time) { avoid = r.avoided.list(now) })
	return &generator{
		avoid: avoid, partialSample: r.takeInterrupted(slot),
		runner: r.m.runner, account: step.Account, oldestAllowed: r.oldestAllowed,
		request: engine.CompletionRequest{
			Model: step.Service, Messages: group.Messages, MaxTokens: r.request.MaxTokens,
			Stream: true, Priority: rolloutPriority, Seed: sampleSeed(r.id, slot),
		},
		onStart: func(prefixTokens int, cancelAttempt context.CancelCauseFunc) {
			r.withDetector(func(now time.Time) {
				r.detector.StartSample(now, slot, prefixTokens)
				r.cancelAttempt[slot] = cancelAttempt
			})
		},
		onTokens: func(n int) {
			r.withDetector(func(now time.Time) { r.detector.RecordTokens(now, slot, n) })
			if r.markPromptRan(slot) {
				r.update(func(*Stream) {}) // wakes the loop: other samples of the group may start
			}
		},
		onMove: func(upstream string) { r.withDetector(func(now time.Time) { r.avoided.recordMove(now, upstream) }) },
		onEnd:  func() { r.withDetector(func(now time.Time) { r.detector.EndSample(now, slot) }) },
		onCrash: func(u upstream.Announcement) {
			r.m.log.Warn("An upstream crashed while it ran a sample.", "step", r.id, "slot", slot, "upstream", u.ID, "incarnation", u.Incarnation)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.crashes.recordCrash(time.Now(), r.group(slot), fmt.Sprintf("%s#%d", u.ID, u.Incarnation))
		},
		onSurvival: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.crashes.recordSurvival(r.group(slot))
		},
	}
}

// takeInterrupted returns the partial output of a slot that a crash has interrupted; it is
// empty if there is none within the staleness bound.
func (r *run) takeInterrupted(slot int) partialSample {
	oldestAllowed := r.oldestAllowed()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.interrupted[slot]
	delete(r.interrupted, slot)
	if len(p.sample.Segments) > 0 && p.sample.OldestVersion() < oldestAllowed {
		return partialSample{}
	}
	return p
}

// markPromptRan calls Stream.MarkPromptRan with mu locked.
func (r *run) markPromptRan(slot int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.MarkPromptRan(slot)
}

// withDetector calls f with detectorMu locked.
func (r *run) withDetector(f func(now time.Time)) {
	r.detectorMu.Lock()
	defer r.detectorMu.Unlock()
	f(time.Now())
}

// moveStragglers cancels the attempts of stragglers, which then resume at other upstreams.
// The slow attempt doesn't continue in parallel: a race between the two would favour short
// samples.
func (r *run) moveStragglers() {
	r.withDetector(func(now time.Time) {
		for _, slot := range r.detector.Stragglers(now) {
			samplesMoved.Inc()
			r.cancelAttempt[slot](result.New(result.SampleMoved, "the upstream is too slow"))
		}
	})
}
