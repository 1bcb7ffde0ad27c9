// Package claim runs non-idempotent requests at most once. A quorum of the control log
// commits the claim of a request before anything is sent. The response is stored in the
// control log, so that a caller that resends the request gets it through any entry.
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

// busyRetryAfter is the Retry-After while the first request is still running.
const busyRetryAfter = time.Second

// commitTimeout is the timeout of one proposal.
const commitTimeout = 3 * time.Second

// maxRecordWait is how long a response is held back until the end of its claim is recorded
// in the control log. After that it is delivered, and the end is recorded in the background.
const maxRecordWait = time.Second

// Run executes a claimed request. It may continue after the caller has disconnected. The
// result class of its error must say correctly whether the request ran.
type Run func(context.Context) (*state.Answer, error)

// Runner claims requests for one entry.
type Runner struct {
	log         control.Log
	incarnation string
	alive       func(owner string) bool
	recorder    *recorder

	mu     sync.Mutex
	active map[string]bool // owners at this entry, until the end of their claim is recorded
}

// New returns a Runner. incarnation must be unique to this process. alive reports whether
// the entry of an owner of another incarnation is believed to be running.
func New(log control.Log, incarnation string, alive func(owner string) bool) *Runner {
	return &Runner{log: log, incarnation: incarnation, alive: alive, recorder: &recorder{log: log}, active: map[string]bool{}}
}

// Run runs a request at most once for id. A resent request gets the stored response, or one
// of these errors: IdempotencyKeyReused if the fingerprint differs, ClaimBusy if the first
// request is still running, AnswerNotKept if its response was too large to store, and
// OutcomeUnknown if it may have run but no response is stored.
func (r *Runner) Run(ctx context.Context, id state.ClaimID, fingerprint string, run Run) (*state.Answer, error) {
	owner := r.incarnation + "/" + uuid.NewString()
	r.addActive(owner)
	begin := state.ClaimBegin{ID: id, Fingerprint: fingerprint, Owner: owner}
	out, err := propose(ctx, r.log, state.Command{ClaimBegin: &begin})
	if err != nil {
		// The claim may still be committed, although the request won't run.
		r.record(state.ClaimFinish{ID: id, Owner: owner, State: state.ClaimReleased})
		return nil, err
	}
	if out.Code != result.OK {
		r.removeActive(owner)
		return r.resolveNotGranted(out)
	}
	return r.runClaimed(ctx, id, owner, run)
}

// runClaimed runs a claimed request to its end, even if the caller disconnects: once the
// request is sent, only its response tells a resent request what happened. If ctx is
// cancelled, runClaimed returns at once and the request continues in the background. If the
// deadline of ctx passes, the request itself ends.
func (r *Runner) runClaimed(ctx context.Context, id state.ClaimID, owner string, run Run) (*state.Answer, error) {
	var response *state.Answer
	var runErr error
	finished := make(chan (<-chan struct{}), 1)
	r.recorder.wg.Go(func() {
		runCtx, cancel := detach(ctx)
		defer cancel()
		response, runErr = run(runCtx)
		finished <- r.record(newClaimFinish(id, owner, response, runErr))
	})
	cancelled := ctx.Done()
	if deadlinePassed(ctx) {
		cancelled = nil
	}
	for {
		select {
		case recorded := <-finished:
			select {
			case <-recorded:
			case <-time.After(maxRecordWait):
			}
			return response, runErr
		case <-cancelled:
			if !deadlinePassed(ctx) {
				return nil, context.Cause(ctx)
			}
			cancelled = nil // run returns because of the same deadline
		}
	}
}

func deadlinePassed(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// detach returns a context with the values and the deadline of ctx, but without its
// cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if d, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, d)
	}
	return context.WithCancel(detached)
}

// Wait returns when all running requests have ended and are recorded, or with the error
// of ctx.
func (r *Runner) Wait(ctx context.Context) error { return r.recorder.wait(ctx) }

// newClaimFinish returns the command that records the end of a claimed request.
func newClaimFinish(id state.ClaimID, owner string, response *state.Answer, runErr error) state.ClaimFinish {
	finish := state.ClaimFinish{ID: id, Owner: owner}
	switch {
	case runErr == nil:
		finish.State = state.ClaimDone
		finish.Answer = response.ForLog()
	case result.CodeOf(runErr).Info().Class == result.NotRun:
		finish.State = state.ClaimReleased
	default:
		finish.State = state.ClaimUnknown
	}
	return finish
}

// record commits the end of a claim in the background. The returned channel is closed when
// it is recorded.
func (r *Runner) record(finish state.ClaimFinish) <-chan struct{} {
	done := make(chan struct{})
	r.recorder.start(finish, func() {
		r.removeActive(finish.Owner)
		close(done)
	})
	return done
}

// resolveNotGranted returns the response or the error for a request whose claim was not
// granted.
func (r *Runner) resolveNotGranted(out state.Outcome) (*state.Answer, error) {
	if out.Code != result.ClaimBusy {
		return nil, out.Err()
	}
	c := out.Claim
	switch {
	case c.State == state.ClaimDone && c.Answer.Dropped:
		return nil, result.New(result.AnswerNotKept, "the answer exceeded %d bytes", state.MaxStoredAnswerBytes)
	case c.State == state.ClaimDone:
		return c.Answer, nil
	case c.State == state.ClaimRunning && r.mayStillRun(c.Owner):
		return nil, result.NewRetryAfter(result.ClaimBusy, busyRetryAfter, "the first request with this idempotency key is still running")
	}
	return nil, result.New(result.OutcomeUnknown, "the first request with this idempotency key may have run")
}

// mayStillRun reports whether owner may still finish its claim: it is active at this entry,
// or its entry is alive.
func (r *Runner) mayStillRun(owner string) bool {
	if !strings.HasPrefix(owner, r.incarnation+"/") {
		return r.alive(owner)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[owner]
}

func (r *Runner) addActive(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[owner] = true
}

func (r *Runner) removeActive(owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, owner)
}

// propose commits c with commitTimeout.
func propose(ctx context.Context, log control.Log, c state.Command) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return log.Propose(ctx, c)
}
