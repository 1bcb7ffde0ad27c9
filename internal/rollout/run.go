package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/engine"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Running of one step.
const (
	maxParallel = 64 // samples of one step generated at once by its owner
	retryWait   = 200 * time.Millisecond
	paceTick    = 250 * time.Millisecond
	// attendedFor is how long after a trainer's request stale samples are still
	// regenerated in advance of the next one.
	attendedFor = time.Minute
	// unattendedTTL is how long a step runs without a request of its trainer.
	unattendedTTL = time.Hour
)

// run is a step at its owner: the stream with its lock, and the goroutines that
// generate and deliver samples.
type run struct {
	m       *Manager
	id      string
	request StepRequest
	ctx     context.Context
	cancel  context.CancelFunc

	// delivering is held over the commit of positions, so that one proposal at
	// a time is under way.
	delivering sync.Mutex
	handed     atomic.Bool // to another owner

	mu      sync.Mutex
	step    state.Step // Slots is not kept
	stream  *Stream
	changed chan struct{} // closed at every change of stream
	running int
	asked   time.Time // by the trainer

	paceMu sync.Mutex
	pace   *Pace
	move   map[int]context.CancelCauseFunc // by slot
	slow   shunned
}

func newRun(m *Manager, q StepRequest, s state.Step) *run {
	r := &run{
		m: m, id: s.ID, request: q, changed: make(chan struct{}), asked: time.Now(),
		pace: NewPace(m.MaxMoves), move: map[int]context.CancelCauseFunc{},
		stream: NewStream(s.Total, q.PerGroup, s.Slots, s.Acked),
	}
	s.Slots = nil
	r.step = s
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// update changes the stream and wakes the waiting requests.
func (r *run) update(f func(*Stream)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.stream)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) wait() <-chan struct{} {
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
	r.delivering.Lock()
	defer r.delivering.Unlock()
	r.update(func(st *Stream) {
		if s.Epoch <= r.step.Epoch {
			return
		}
		st.Rewind(s.Slots, s.Acked)
		s.Slots = nil
		r.step = s
		r.asked = time.Now()
	})
}

// allowed returns the oldest weight version within the bound according to this
// daemon's snapshot. It avoids useless work; the control log decides.
func (r *run) allowed() uint64 {
	return r.m.view.Config().OldestAllowed(r.current().Service)
}

// loop generates samples until the step has ended or has another owner.
func (r *run) loop() {
	defer r.m.drop(r)
	defer r.cancel()
	for {
		woken := r.wait()
		published := r.m.view.Changed()
		if !r.tidy() {
			r.m.log.Warn("Step dropped. Its trainer is away.", "step", r.id)
			return
		}
		r.generateMore()
		r.moveStragglers()
		select {
		case <-r.ctx.Done():
			return
		case <-woken:
		case <-published:
		case <-time.After(paceTick):
		}
	}
}

// tidy drops stale samples while the trainer is active; false when the trainer
// has sent no request for too long.
func (r *run) tidy() bool {
	allowed := r.allowed()
	r.mu.Lock()
	defer r.mu.Unlock()
	away := time.Since(r.asked)
	if away < attendedFor {
		droppedStale.Add(r.stream.DropStale(allowed))
	}
	return away < unattendedTTL
}

func (r *run) generateMore() {
	for {
		slot, ok := r.nextSlot()
		if !ok {
			return
		}
		go r.generate(slot)
	}
}

func (r *run) nextSlot() (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= maxParallel {
		return 0, false
	}
	slot, ok := r.stream.Next()
	if ok {
		r.running++
	}
	return slot, ok
}

func (r *run) generate(slot int) {
	step := r.current()
	g := r.generation(step, slot)
	s, err := g.run(r.ctx)
	if c := result.CodeOf(err); c == result.Quarantined || c == result.QuarantinedNow {
		// Final: the step must not wait for a prompt that crashes upstreams.
		s, err = Sample{Failed: result.Quarantined}, nil
	}
	if err != nil {
		r.m.log.Debug("Sample failed.", "step", r.id, "slot", slot, "err", err.Error())
		periodic.Pause(r.ctx, retryWait)
	}
	r.update(func(st *Stream) {
		r.running--
		if err != nil {
			st.Failed(slot)
			return
		}
		st.Finished(slot, s)
	})
	if err == nil {
		r.m.usage.Add(step.Account, step.Service, 1, int64(s.Tokens()))
	}
}

func (r *run) generation(step state.Step, slot int) *generation {
	group := r.request.Groups[slot/r.request.PerGroup]
	var avoid []string
	r.pacing(func(now time.Time) { avoid = r.slow.list(now) })
	return &generation{
		avoid:  avoid,
		runner: r.m.runner, account: step.Account, allowed: r.allowed,
		request: engine.CompletionRequest{
			Model: step.Service, Messages: group.Messages, MaxTokens: r.request.MaxTokens,
			Stream: true, Priority: rolloutPriority, Seed: seedOf(r.id, slot),
		},
		began: func(prefix int, move context.CancelCauseFunc) {
			r.pacing(func(now time.Time) {
				r.pace.StartSample(now, slot, prefix)
				r.move[slot] = move
			})
		},
		grew: func(n int) {
			r.pacing(func(now time.Time) { r.pace.RecordTokens(now, slot, n) })
			if r.proven(slot) {
				r.update(func(*Stream) {}) // the others of the group may start
			}
		},
		left:  func(upstream string) { r.pacing(func(now time.Time) { r.slow.moved(now, upstream) }) },
		ended: func() { r.pacing(func(now time.Time) { r.pace.EndSample(now, slot) }) },
	}
}

func (r *run) proven(slot int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Proven(slot)
}

func (r *run) pacing(f func(now time.Time)) {
	r.paceMu.Lock()
	defer r.paceMu.Unlock()
	f(time.Now())
}

// moveStragglers continues slow samples at other upstreams. The slow upstream is
// cancelled at once: racing the two would favour short samples.
func (r *run) moveStragglers() {
	r.pacing(func(now time.Time) {
		for _, slot := range r.pace.Stragglers(now) {
			moved.Inc()
			r.move[slot](result.New(result.SampleMoved, "the upstream is too slow"))
		}
	})
}
