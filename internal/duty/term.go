package duty

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// roundInterval is the time between two rounds of a duty.
const roundInterval = 100 * time.Millisecond

// settleDelay is how long after a takeover orders of the previous leader may still arrive. A process
// that is frozen right after a write cannot close the connection; its kernel retransmits for one
// retransmission timeout (200 to 600 ms) and drops the bytes 200 ms later (reach.unackedOrderTimeout),
// on a clock that may be 10% slow while that of the new leader is 10% fast.
const settleDelay = time.Second

// Term determines whether this process may act as the leader, and under which term.
type Term struct {
	leadership    func() control.Leadership
	takeoverDelay time.Duration // time until the calls of the previous leader have ended
	settleDelay   time.Duration // the same if the previous leader led for takeoverDelay
	holder        string
	token         uint64
	since         time.Time // when token was first seen
	// actsEarly is set if this process need not always wait for takeoverDelay.
	actsEarly bool
	wait      takeoverWait // in the term of token
}

// takeoverWait is how long a new leader waits before it acts, with the reason.
type takeoverWait struct {
	predecessorLed  time.Duration
	votersRestarted bool
	delay           time.Duration
}

// NewTerm returns the term of the process called holder. A new leader waits takeoverDelay
// before it acts.
func NewTerm(leadership func() control.Leadership, holder string, takeoverDelay time.Duration) *Term {
	return &Term{leadership: leadership, holder: holder, takeoverDelay: takeoverDelay, settleDelay: min(settleDelay, takeoverDelay)}
}

// ActingEarly returns t after making it skip takeoverDelay if the previous leader led for that time.
// The delay keeps two leaders from acting in turn within it; a leader before the previous one acted
// before the previous one took over. What is left are the calls of the previous leader: they end
// within settleDelay, or have ended with its process if all voters have restarted since.
func (t *Term) ActingEarly() *Term {
	t.actsEarly = true
	return t
}

// fence returns the identity to act under. ok is false when this process doesn't lead, or
// must still wait after its takeover. changed reports that the term differs from that of
// the last call.
func (t *Term) fence(now time.Time) (f Fence, changed, ok bool) {
	l := t.leadership()
	if !l.Valid() {
		return Fence{}, false, false
	}
	if l.Term != t.token {
		t.token, t.since, t.wait = l.Term, now, t.takeoverWait(l)
		changed = true
	}
	since := t.since
	if t.wait.delay < t.takeoverDelay && !l.Since.IsZero() {
		since = l.Since
	}
	return Fence{Holder: t.holder, Token: l.Term}, changed, now.Sub(since) >= t.wait.delay
}

// takeoverWait decides how long to wait in the term of l.
func (t *Term) takeoverWait(l control.Leadership) takeoverWait {
	w := takeoverWait{l.PredecessorLed, l.VotersRestarted, t.takeoverDelay}
	switch {
	case !t.actsEarly || l.PredecessorLed < t.takeoverDelay:
	case l.VotersRestarted:
		w.delay = 0
	default:
		w.delay = t.settleDelay
	}
	return w
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
