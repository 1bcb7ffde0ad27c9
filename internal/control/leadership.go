package control

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/clock"
)

// Leadership is the right to act for the system until a monotonic time.
type Leadership struct {
	Term  uint64    // fencing number: grows with every leader
	Until time.Time // end of the lease, on the local monotonic clock
	// Ends is the same on the boot clock, which goes on while the machine is
	// suspended; 0 when only Until is known.
	BootUntil time.Duration
}

// EndedFor reports whether the lease ended at least d ago.
func (l Leadership) ExpiredFor(d time.Duration) bool {
	if l.BootUntil != 0 && clock.Now() >= l.BootUntil+d {
		return true
	}
	return !time.Now().Before(l.Until.Add(d))
}

// Valid reports whether the lease still runs. Check it right before writing to
// the outside, and set the write deadline to Until.
func (l Leadership) Valid() bool {
	return l.Term != 0 && !l.ExpiredFor(0)
}

// Holds reports whether the lease is that of a term and still runs.
func (l Leadership) ValidInTerm(term uint64) bool { return l.Term == term && l.Valid() }
