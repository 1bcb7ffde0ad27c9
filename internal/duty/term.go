package duty

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/periodic"
)

// interval between looks at what a duty has to do.
const interval = 100 * time.Millisecond

// Term decides whether this process may act as the leader.
type Term struct {
	leadership func() control.Leadership
	guard      time.Duration // a new leader waits so long: acts of its predecessor are over by then
	holder     string
	token      uint64
	since      time.Time
}

// NewTerm returns the term of the process called holder.
func NewTerm(leadership func() control.Leadership, holder string, guard time.Duration) *Term {
	return &Term{leadership: leadership, holder: holder, guard: guard}
}

// fence returns the right to act; false when there is none. changed reports
// that the leadership differs from that of the last call.
func (t *Term) fence(now time.Time) (f Fence, changed, ok bool) {
	l := t.leadership()
	if !l.Valid() {
		return Fence{}, false, false
	}
	if l.Term != t.token {
		t.token, t.since = l.Term, now
		changed = true
	}
	return Fence{Holder: t.holder, Token: l.Term}, changed, now.Sub(t.since) >= t.guard
}

// valid reports whether f still holds. Ask right before acting.
func (t *Term) valid(f Fence) bool {
	return t.leadership().ValidInTerm(f.Token)
}

// each calls round while ctx lasts.
func each(ctx context.Context, round func()) { periodic.Every(ctx, interval, round) }
