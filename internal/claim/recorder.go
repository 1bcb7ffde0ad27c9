package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Bounds of recording.
const (
	// recordPause spaces the tries to commit one end.
	recordPause = 200 * time.Millisecond
	// maxWaiting bounds the ends that wait with their answers: 64 MiB at most.
	// Beyond it an end is recorded without its answer.
	maxWaiting = 1024
)

// recorder commits the ends of claims, for as long as that takes: a claim whose
// end is not recorded would keep its caller from the answer.
type recorder struct {
	log     control.Log
	waiting atomic.Int64
	running sync.WaitGroup
}

// start commits end in the background and then calls done.
func (r *recorder) start(end state.ClaimFinish, done func()) {
	if r.waiting.Add(1) > maxWaiting && end.Answer != nil {
		end.Answer = &state.Answer{Status: end.Answer.Status, Dropped: true}
	}
	r.running.Go(func() {
		defer r.waiting.Add(-1)
		defer done()
		for !r.try(end) {
			time.Sleep(recordPause)
		}
	})
}

// try reports whether the log has decided on end, by recording or by refusing it.
func (r *recorder) try(end state.ClaimFinish) bool {
	_, err := commit(context.Background(), r.log, state.Command{ClaimFinish: &end})
	return err == nil
}

func (r *recorder) wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
