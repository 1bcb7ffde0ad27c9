package control

import (
	"context"
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
)

// Leadership is the leader lease of this replica: the right to act as the leader until a
// monotonic time. The zero value is no lease.
type Leadership struct {
	Term  uint64    // fencing token; grows with every leader
	Until time.Time // end of the lease, on the local monotonic clock
	// BootUntil is the same time on the boot clock, which continues while the machine
	// is suspended. It is 0 when only Until is known.
	BootUntil time.Duration
	Since     time.Time // when this replica acquired its first lease of Term
	// PredecessorLed is how long the leader before this one led at least: the time of the group
	// between the first and the last command of its term. It is 0 where that is not known.
	PredecessorLed time.Duration
	// VotersRestarted is set if the processes of all voters have ended since the leader before
	// this one led.
	VotersRestarted bool
}

// Leadership returns the current leader lease of this replica.
func (r *Replica) Leadership() Leadership { return *r.leadership.Load() }

// ExpiredFor reports whether the lease expired at least d ago.
func (l Leadership) ExpiredFor(d time.Duration) bool {
	if l.BootUntil != 0 && clock.Now() >= l.BootUntil+d {
		return true
	}
	return !time.Now().Before(l.Until.Add(d))
}

// Valid reports whether the lease has not expired. Callers must check it right before they
// write to another system, and must set the write deadline to Until.
func (l Leadership) Valid() bool {
	return l.Term != 0 && !l.ExpiredFor(0)
}

// ValidInTerm reports whether the lease belongs to term and has not expired.
func (l Leadership) ValidInTerm(term uint64) bool { return l.Term == term && l.Valid() }

// leasePollInterval is the time between two checks of the lease during a call.
const leasePollInterval = 20 * time.Millisecond

// WithLease returns a context for one call to another system. It ends when the lease of term ends,
// which resets the connection of a call that has no response by then and discards the bytes that
// the receiver has not read. Callers check the lease right before the call.
func WithLease(ctx context.Context, leadership func() Leadership, term uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		t := time.NewTicker(leasePollInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if l := leadership(); !l.ValidInTerm(term) {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}
