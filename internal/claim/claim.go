// Package claim runs non-idempotent requests at most once. The right to run is
// committed by a quorum before anything is sent, and the answer is kept for
// whoever sends the request again, through any entry.
package claim

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// busyRetry is the Retry-After while the first attempt still runs.
const busyRetry = time.Second

// commitTimeout bounds one wait for the quorum.
const commitTimeout = 3 * time.Second

// answerWait is how long an answer waits for its record. After that it is
// delivered and recorded in the background.
const answerWait = time.Second

// Run does the work of a claimed request, possibly for longer than its caller
// stays. Its error must carry the class of what happened.
type Run func(context.Context) (*state.Answer, error)

// Runner claims requests for one entry.
type Runner struct {
	log         control.Log
	incarnation string
	alive       func(owner string) bool
	recorder    *recorder

	mu     sync.Mutex
	active map[string]bool // own owners whose end is not recorded yet
}

// New returns a Runner. incarnation is never used again after this process;
// alive reports whether the entry of another owner is believed to run.
func New(log control.Log, incarnation string, alive func(owner string) bool) *Runner {
	return &Runner{log: log, incarnation: incarnation, alive: alive, recorder: &recorder{log: log}, active: map[string]bool{}}
}

// Run runs a request once for id. A resent request gets the kept answer.
func (r *Runner) Run(ctx context.Context, id state.ClaimID, fingerprint string, run Run) (*state.Answer, error) {
	owner := r.incarnation + "/" + uuid.NewString()
	r.enter(owner)
	begin := state.ClaimBegin{ID: id, Fingerprint: fingerprint, Owner: owner}
	out, err := commit(ctx, r.log, state.Command{ClaimBegin: &begin})
	if err != nil {
		// The claim may be committed later; nobody would run it then.
		r.record(state.ClaimFinish{ID: id, Owner: owner, State: state.ClaimReleased})
		return nil, err
	}
	if out.Code != result.OK {
		r.leave(owner)
		return r.refused(out)
	}
	return r.work(ctx, id, owner, run)
}

// work runs a claimed request to its end, even if its caller leaves: once
// it is sent, only its answer shows a resend what happened. A caller whose ctx
// is cancelled is answered at once; the deadline ends the work itself.
func (r *Runner) work(ctx context.Context, id state.ClaimID, owner string, run Run) (*state.Answer, error) {
	var answer *state.Answer
	var runErr error
	ran := make(chan (<-chan struct{}), 1)
	r.recorder.running.Go(func() {
		alone, cancel := detach(ctx)
		defer cancel()
		answer, runErr = run(alone)
		ran <- r.record(ending(id, owner, answer, runErr))
	})
	cancelled := ctx.Done()
	if deadlinePassed(ctx) {
		cancelled = nil
	}
	for {
		select {
		case recorded := <-ran:
			select {
			case <-recorded:
			case <-time.After(answerWait):
			}
			return answer, runErr
		case <-cancelled:
			if !deadlinePassed(ctx) {
				return nil, context.Cause(ctx)
			}
			cancelled = nil // the work now ends at its deadline
		}
	}
}

func deadlinePassed(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// detach keeps the values and the deadline of ctx, but not its cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	alone := context.WithoutCancel(ctx)
	if d, ok := ctx.Deadline(); ok {
		return context.WithDeadline(alone, d)
	}
	return context.WithCancel(alone)
}

// Wait returns when all ends are recorded, or with the error of ctx.
func (r *Runner) Wait(ctx context.Context) error { return r.recorder.wait(ctx) }

// ending returns the record of a run's end.
func ending(id state.ClaimID, owner string, answer *state.Answer, runErr error) state.ClaimFinish {
	end := state.ClaimFinish{ID: id, Owner: owner}
	switch {
	case runErr == nil:
		end.State = state.ClaimDone
		end.Answer = answer.ForLog()
	case result.CodeOf(runErr).Info().Class == result.NotRun:
		end.State = state.ClaimReleased
	default:
		end.State = state.ClaimUnknown
	}
	return end
}

func (r *Runner) record(end state.ClaimFinish) <-chan struct{} {
	done := make(chan struct{})
	r.recorder.start(end, func() {
		r.leave(end.Owner)
		close(done)
	})
	return done
}

// refused answers a request whose claim was not granted.
func (r *Runner) refused(out state.Outcome) (*state.Answer, error) {
	if out.Code != result.ClaimBusy {
		return nil, out.Err()
	}
	c := out.Claim
	switch {
	case c.State == state.ClaimDone && c.Answer.Dropped:
		return nil, result.New(result.AnswerNotKept, "the answer exceeded %d bytes", state.MaxStoredAnswerBytes)
	case c.State == state.ClaimDone:
		return c.Answer, nil
	case c.State == state.ClaimRunning && r.runs(c.Owner):
		return nil, result.NewRetryAfter(result.ClaimBusy, busyRetry, "the first sending still runs")
	}
	return nil, result.New(result.OutcomeUnknown, "the first sending may have run")
}

// runs reports whether owner may still end its claim.
func (r *Runner) runs(owner string) bool {
	if !strings.HasPrefix(owner, r.incarnation+"/") {
		return r.alive(owner)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[owner]
}

func (r *Runner) enter(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[owner] = true
}

func (r *Runner) leave(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, owner)
}

func commit(ctx context.Context, log control.Log, c state.Command) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return log.Propose(ctx, c)
}
