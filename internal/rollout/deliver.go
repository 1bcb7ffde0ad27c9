package rollout

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// take returns the positions after the cursor, waiting until there are any.
func (r *run) take(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	began := time.Now()
	defer func() { trainerWait.Update(time.Since(began).Seconds()) }()
	timeout := time.After(q.Wait)
	for {
		woken := r.wait()
		b, err := r.batch(ctx, q)
		if err != nil || len(b.Samples) > 0 || b.Done {
			return b, err
		}
		select {
		case <-woken:
		case <-timeout:
			return b, nil
		case <-r.ctx.Done():
			if r.handed.Load() {
				return b, errHandedOver
			}
			return b, result.New(result.StepMoved, "the step has ended here")
		case <-ctx.Done():
			return FetchResponse{}, ctx.Err()
		}
	}
}

// batch returns what can be sent now. Everything in it was committed in the
// step's current epoch, and was within the staleness bound at a log index
// that is later than the trainer's request.
func (r *run) batch(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	r.delivering.Lock()
	defer r.delivering.Unlock()
	if r.handed.Load() {
		return FetchResponse{}, errHandedOver
	}
	if err := r.confirm(q); err != nil {
		return FetchResponse{}, err
	}
	b := FetchResponse{Attempt: q.Attempt, Cursor: q.After}
	var err error
	switch {
	case r.outstanding(q.After):
		b.Samples, err = r.resend(ctx, q.Limit)
	case r.complete():
		b.Done, err = true, r.finish(ctx, q.After)
	default:
		b.Samples, err = r.place(ctx, q.Limit)
	}
	if err != nil {
		return FetchResponse{}, r.lost(err)
	}
	if n := len(b.Samples); n > 0 {
		b.Cursor = b.Samples[n-1].Position
	}
	return b, nil
}

// confirm advances the step to the trainer's cursor.
func (r *run) confirm(q FetchRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = time.Now()
	switch {
	case q.Attempt < r.step.Attempt:
		return result.New(result.StepSuperseded, "the step was opened again")
	case q.Attempt > r.step.Attempt:
		return result.New(result.StepMoved, "the step was opened elsewhere")
	case !r.stream.Ack(q.After):
		return result.New(result.CursorWrong, "after=%d does not fit the step", q.After)
	}
	return nil
}

func (r *run) outstanding(cursor int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cursor < len(r.stream.positions)
}

func (r *run) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Done()
}

// resend returns committed positions again. It checks ownership in the control
// log first, since an owner that was suspended may have lost the step.
func (r *run) resend(ctx context.Context, limit int) ([]Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := r.m.commit.Query(ctx, control.QueryRequest{Step: r.id})
	if err != nil {
		return nil, err
	}
	if reply.Step == nil || reply.Step.Epoch != r.current().Epoch {
		return nil, result.New(result.StepMoved, "the step has another owner")
	}
	return r.sent(limit, reply.Step.OldestAllowed)
}

func (r *run) sent(limit int, allowed uint64) ([]Sample, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Sent(limit, allowed)
}

// place commits positions for what is ready and returns them.
func (r *run) place(ctx context.Context, limit int) ([]Sample, error) {
	allowed := r.allowed()
	r.mu.Lock()
	dropped := r.stream.DropStale(allowed)
	c := r.stream.Propose(limit)
	r.mu.Unlock()
	if dropped > 0 {
		droppedStale.Add(dropped)
		r.update(func(*Stream) {}) // their slots are generated again
	}
	if len(c.Slots) == 0 {
		return nil, nil
	}
	c.ID, c.Epoch = r.id, r.current().Epoch
	// The commit is not cancelled with the trainer's request: the log may already
	// hold its positions.
	out, err := r.m.propose(context.WithoutCancel(ctx), state.Command{StepCommit: &c})
	if err != nil {
		return nil, err
	}
	r.update(func(s *Stream) { s.Committed(out.Step.Slots) })
	samples, err := r.sent(limit, out.Version)
	observe(samples, out.Version)
	return samples, err
}

// finish records that the trainer has received every position.
func (r *run) finish(ctx context.Context, cursor int) error {
	c := state.StepAck{ID: r.id, Epoch: r.current().Epoch, Cursor: cursor}
	if _, err := r.m.propose(ctx, state.Command{StepAck: &c}); err != nil {
		return err
	}
	r.cancel()
	return nil
}

// lost ends the run when another daemon owns its step, and returns the error
// that makes the trainer open the step again where that helps.
func (r *run) lost(err error) error {
	switch result.CodeOf(err) {
	case result.StepMoved, result.StepUnknown:
		r.m.log.Warn("Step lost.", "step", r.id)
		r.cancel()
	case result.StaleVersion:
		return result.New(result.StepMoved, "%s; open the step again", result.From(err).Message)
	}
	return err
}
