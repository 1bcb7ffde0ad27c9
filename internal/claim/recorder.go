package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Parameters of recording the ends of claims.
const (
	// recordRetryInterval is the pause between two attempts to commit the end of a claim.
	recordRetryInterval = 200 * time.Millisecond
	// maxPendingRecords is the maximum number of ends that wait to be recorded with their
	// responses, which take at most 64 MiB. Above it, ends are recorded without their
	// responses.
	maxPendingRecords = 1024
)

// recorder commits the ends of claims. It retries without a limit, because a caller that
// resends its request can't get the response until the end is recorded.
type recorder struct {
	log     control.Log
	pending atomic.Int64   // ends that are not recorded yet
	wg      sync.WaitGroup // running requests and pending ends
}

// start commits finish in the background and then calls done.
func (r *recorder) start(finish state.ClaimFinish, done func()) {
	if r.pending.Add(1) > maxPendingRecords && finish.Answer != nil {
		finish.Answer = &state.Answer{Status: finish.Answer.Status, Dropped: true}
	}
	r.wg.Go(func() {
		defer r.pending.Add(-1)
		defer done()
		for !r.tryRecord(finish) {
			time.Sleep(recordRetryInterval)
		}
	})
}

// tryRecord proposes finish. It reports whether the control log has applied or rejected it.
func (r *recorder) tryRecord(finish state.ClaimFinish) bool {
	_, err := propose(context.Background(), r.log, state.Command{ClaimFinish: &finish})
	return err == nil
}

// wait returns when wg is done, or with the error of ctx.
func (r *recorder) wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
