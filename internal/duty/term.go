package duty

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// roundInterval is the time between two rounds of a duty.
const roundInterval = 100 * time.Millisecond

// Term determines whether this process may act as the leader, and under which term.
type Term struct {
	leadership    func() control.Leadership
	takeoverDelay time.Duration // time until the calls of the previous leader have ended
	holder        string
	token         uint64
	since         time.Time // when token was first seen
	// actsAfterRestart is set if this process need not wait when all voters have restarted.
	actsAfterRestart bool
}

// NewTerm returns the term of the process called holder. A new leader waits takeoverDelay
// before it acts.
func NewTerm(leadership func() control.Leadership, holder string, takeoverDelay time.Duration) *Term {
	return &Term{leadership: leadership, holder: holder, takeoverDelay: takeoverDelay}
}

// ActingAfterRestart returns t after making it skip takeoverDelay if the processes of all voters
// have ended since the previous leader acted. The calls of that leader have then ended with its
// process. The delay also keeps two leaders from acting in turn within it: a leader before the
// previous one acted before the previous one took over, so that one must have led for the delay.
func (t *Term) ActingAfterRestart() *Term {
	t.actsAfterRestart = true
	return t
}

// fence returns the identity to act under. ok is false when this process doesn't lead, or
// is still within its takeover delay. changed reports that the term differs from that of
// the last call.
func (t *Term) fence(now time.Time) (f Fence, changed, ok bool) {
	l := t.leadership()
	if !l.Valid() {
		return Fence{}, false, false
	}
	if l.Term != t.token {
		t.token, t.since = l.Term, now
		changed = true
	}
	restarted := t.actsAfterRestart && l.PredecessorLed >= t.takeoverDelay
	return Fence{Holder: t.holder, Token: l.Term}, changed, restarted || now.Sub(t.since) >= t.takeoverDelay
}

// call returns the context of one order or report under f. It returns false if this process no
// longer leads in the term of f. The context ends with the lease: a receiver may check no fencing
// token, and takeoverDelay covers only what the kernel still sends of a process that is frozen.
func (t *Term) call(ctx context.Context, f Fence) (context.Context, context.CancelFunc, bool) {
	if !t.leadership().ValidInTerm(f.Token) {
		return nil, nil, false
	}
	ctx, cancel := control.WithLease(ctx, t.leadership, f.Token)
	return ctx, cancel, true
}

// runPeriodically calls round every roundInterval until ctx ends.
func runPeriodically(ctx context.Context, round func()) { periodic.Every(ctx, roundInterval, round) }
