package batch

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
)

// rewardResult is the result of a reward request.
type rewardResult struct {
	item  *item
	score string
	err   error
}

// score sends the reward request of a complete item in the background, once the retry
// delay of the item has passed. An item without a reward request is completed at once. The
// request ends with the batch job.
func (s *session) score(ctx context.Context, it *item) {
	if it.spec.Reward == nil {
		s.completeItem(it, "")
		return
	}
	ctx = s.jobContext(ctx, it.job)
	limits := ScoreLimits{Deadline: it.job.expiresAt(), Homes: it.job.batch.Homes}
	s.wg.Go(func() {
		if wait := time.Until(it.notBefore); wait > 0 {
			if !periodic.Pause(ctx, wait) {
				return
			}
		}
		sig, err := s.scorer.Score(ctx, it.spec.Reward, limits)
		select {
		case s.rewardResult <- rewardResult{item: it, score: sig, err: err}:
		case <-ctx.Done():
		}
	})
}

// handleRewardResult completes the item, or retries its reward request. It aborts the item
// after the allowed number of failure responses.
func (s *session) handleRewardResult(ctx context.Context, x rewardResult) {
	it := x.item
	if it.phase == phaseFinished {
		return
	}
	if x.err == nil {
		s.completeItem(it, x.score)
		return
	}
	s.log.Info("Reward request failed.", "item", it.spec.ID, "batch", it.job.batch.ID, "reward", it.spec.Reward.ID, "code", int(result.CodeOf(x.err)), "err", result.From(x.err).Message)
	if result.CodeOf(x.err) == result.SampleFailed {
		it.rewardFailures++
		if it.rewardFailures >= max(1, it.job.batch.MaxAttempts, s.scorer.MaxFailures(it.spec.Reward)) {
			s.abortItem(it, "its reward request failed at every attempt")
			return
		}
	}
	it.notBefore = time.Now().Add(rewardRetryDelay)
	s.score(ctx, it)
}
