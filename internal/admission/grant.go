package admission

import (
	"math"
	"time"
)

// grantInterval is the time between two adjustments of a grant. Load reports lag by about
// as much.
const grantInterval = time.Second

// shareMargin makes up for the rounding of a share such as 1/49, which times 49 is less than 1.
const shareMargin = 1e-9

// grant is the number of a service's concurrency slots that this entry may use: its part of
// all slots, and some of those that other entries leave unused. It is a pure state
// machine.
type grant struct {
	extra      int       // slots beyond the entry's part
	adjustedAt time.Time // time of the last adjustment
}

// slots returns how many requests may be in flight at this entry. total is the number of
// all slots, used the number of slots that are reported as used by all entries, inFlight
// the number of requests that this entry has in flight, and share the entry's part of all
// slots, at most 1.
func (g *grant) slots(now time.Time, total, used, inFlight int, share float64) int {
	if total == 0 {
		return 0
	}
	own := partUp(total, share)
	if now.Sub(g.adjustedAt) >= grantInterval {
		g.adjustedAt = now
		g.adjust(total-used, inFlight >= own+g.extra, share)
	}
	return min(own+g.extra, total)
}

// adjust raises the grant if this entry uses all of it (full), by half of the entry's part of
// the free slots. It lowers the grant if more slots are reported as used than exist (free < 0)
// or if this entry does not use all of its slots. The steps are small so that entries that see
// the same lagging reports do not all take the same slots.
func (g *grant) adjust(free int, full bool, share float64) {
	switch {
	case free < 0:
		g.extra -= partUp(-free, share)
	case full:
		g.extra += int(float64(free)*share/2 + shareMargin)
	default:
		g.extra /= 2
	}
	g.extra = max(g.extra, 0)
}

// partUp returns the part of n slots that share is, rounded up.
func partUp(n int, share float64) int { return int(math.Ceil(float64(n)*share - shareMargin)) }
