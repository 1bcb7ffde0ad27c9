package batch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
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
