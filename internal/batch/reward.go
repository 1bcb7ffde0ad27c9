package batch

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
)

// scored is the end of a reward request.
type scored struct {
	item  *item
	score string
	err   error
}

func (s *session) score(ctx context.Context, it *item) {
	if it.spec.Reward == nil {
		s.complete(it, "")
		return
	}
	deadline := it.job.expires()
	s.wg.Go(func() {
		if wait := time.Until(it.after); wait > 0 {
			periodic.Pause(ctx, wait)
		}
		sig, err := s.scorer.Score(ctx, it.spec.Reward, deadline)
		select {
		case s.scored <- scored{item: it, score: sig, err: err}:
		case <-ctx.Done():
		}
	})
}

func (s *session) takeScore(ctx context.Context, x scored) {
	it := x.item
	if it.phase == finished {
		return
	}
	if x.err == nil {
		s.complete(it, x.score)
		return
	}
	s.log.Info("Reward request failed.", "item", it.spec.ID, "batch", it.job.batch.ID, "reward", it.spec.Reward.ID, "code", int(result.CodeOf(x.err)), "err", result.From(x.err).Message)
	if result.CodeOf(x.err) == result.SampleFailed {
		it.unscored++
		if it.unscored >= max(1, it.job.batch.MaxAttempts, s.scorer.MaxFailures(it.spec.Reward)) {
			s.abort(it, "its reward request failed at every attempt")
			return
		}
	}
	it.after = time.Now().Add(scorePause)
	s.score(ctx, it)
}
