package control

import (
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
	// PredecessorLed is how long the leader before this one led at least, if the processes of
	// all voters have ended since. It is 0 otherwise, and where it is not known.
	PredecessorLed time.Duration
}

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
