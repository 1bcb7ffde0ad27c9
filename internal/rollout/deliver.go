package rollout

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// fetch returns the positions after the cursor. It waits until there are any or the step
// is done, at most for q.Wait. It fails with errHandedOver if the step is handed over.
func (r *run) fetch(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	startedAt := time.Now()
	defer func() { trainerWait.Update(time.Since(startedAt).Seconds()) }()
	timeout := time.After(q.Wait)
	for {
		changed := r.streamChanged()
		resp, err := r.fetchNow(ctx, q)
		if err != nil || len(resp.Samples) > 0 || resp.Done {
			return resp, err
		}
		select {
		case <-changed:
		case <-timeout:
			return resp, nil
		case <-r.ctx.Done():
			if r.handedOver.Load() {
				return resp, errHandedOver
			}
			return resp, result.New(result.StepMoved, "the step no longer runs here")
		case <-ctx.Done():
			return FetchResponse{}, ctx.Err()
		}
	}
}

// fetchNow returns the positions that can be sent now. All of them are committed. At a log
// index later than the trainer's request, the step was in the epoch of this run and the
// samples of the positions were within the staleness bound.
func (r *run) fetchNow(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	r.deliveryMu.Lock()
	defer r.deliveryMu.Unlock()
	if r.handedOver.Load() {
		return FetchResponse{}, errHandedOver
	}
	if err := r.advanceCursor(q); err != nil {
		return FetchResponse{}, err
	}
	resp := FetchResponse{Attempt: q.Attempt, Cursor: q.After}
	var err error
	switch {
	case r.hasUnacknowledged(q.After):
		resp.Samples, err = r.resend(ctx, q.Limit)
	case r.allAcknowledged():
		resp.Done, err = true, r.finishStep(ctx, q.After)
	default:
		resp.Samples, err = r.commitReady(ctx, q.Limit)
	}
	if err != nil {
		return FetchResponse{}, r.handleError(err)
	}
	if n := len(resp.Samples); n > 0 {
		resp.Cursor = resp.Samples[n-1].Position
	}
	return resp, nil
}

// advanceCursor acknowledges the positions up to the trainer's cursor. It fails with
// StepSuperseded or StepMoved if the attempt of the request is older or newer than the
// current one, and with CursorWrong if the cursor is outside the positions of the step.
func (r *run) advanceCursor(q FetchRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRequestAt = time.Now()
	switch {
	case q.Attempt < r.step.Attempt:
		return result.New(result.StepSuperseded, "the step was opened again")
	case q.Attempt > r.step.Attempt:
		return result.New(result.StepMoved, "the step was opened at another entry")
	case !r.stream.Ack(q.After):
		return result.New(result.CursorWrong, "after=%d is outside the positions of the step", q.After)
	}
	return nil
}

func (r *run) hasUnacknowledged(cursor int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cursor < len(r.stream.positions)
}

func (r *run) allAcknowledged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Done()
}

// resend returns committed positions that were not acknowledged. It first checks the
// epoch in the control log, since an owner whose process was suspended may no longer own
// the step.
func (r *run) resend(ctx context.Context, limit int) ([]Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := r.m.controlLog.Query(ctx, control.QueryRequest{Step: r.id})
	if err != nil {
		return nil, err
	}
	if reply.Step == nil || reply.Step.Epoch != r.current().Epoch {
		return nil, result.New(result.StepMoved, "the step has another owner")
	}
	return r.unacknowledged(limit, reply.Step.OldestAllowed)
}

func (r *run) unacknowledged(limit int, oldestAllowed uint64) ([]Sample, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Unacknowledged(limit, oldestAllowed)
}

// commitReady commits positions for at most limit ready samples and returns the committed
// positions.
func (r *run) commitReady(ctx context.Context, limit int) ([]Sample, error) {
	oldestAllowed := r.oldestAllowed()
	r.mu.Lock()
	dropped := r.stream.DropStale(oldestAllowed)
	c := r.stream.Propose(limit)
	r.mu.Unlock()
	if dropped > 0 {
		samplesStale.Add(dropped)
		r.update(func(*Stream) {}) // wakes the loop, which generates the slots again
	}
	if len(c.Slots) == 0 {
		return nil, nil
	}
	c.ID, c.Epoch = r.id, r.current().Epoch
	// The commit is not cancelled with the trainer's request, because the control log may
	// already have the positions.
	out, err := r.m.propose(context.WithoutCancel(ctx), state.Command{StepCommit: &c})
	if err != nil {
		return nil, err
	}
	r.update(func(s *Stream) { s.ApplyCommit(out.Step.Slots) })
	samples, err := r.unacknowledged(limit, out.Version)
	observeDelivered(samples, out.Version)
	return samples, err
}

// finishStep commits that the trainer has received every position, and ends the run.
func (r *run) finishStep(ctx context.Context, cursor int) error {
	c := state.StepAck{ID: r.id, Epoch: r.current().Epoch, Cursor: cursor}
	if _, err := r.m.propose(ctx, state.Command{StepAck: &c}); err != nil {
		return err
	}
	r.cancel()
	return nil
}

// handleError ends the run if the step is unknown or has another owner. It returns the
// error for the trainer. StaleVersion becomes StepMoved, which makes the trainer reopen the
// step.
func (r *run) handleError(err error) error {
	switch result.CodeOf(err) {
	case result.StepMoved, result.StepUnknown:
		r.m.log.Warn("Stopped running the step because it has another owner or no longer exists.", "step", r.id)
		r.cancel()
	case result.StaleVersion:
		return result.New(result.StepMoved, "%s; open the step again", result.From(err).Message)
	}
	return err
}
