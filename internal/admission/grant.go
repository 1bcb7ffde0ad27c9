package admission

import "time"

// grantInterval is the time between two adjustments of a grant. Load reports lag by about
// as much.
const grantInterval = time.Second

// grant is the number of a service's concurrency slots that this entry may use: an equal
// part of all slots, and some of those that other entries leave unused. It is a pure
// state machine.
type grant struct {
	extra      int       // slots beyond the equal part
	adjustedAt time.Time // time of the last adjustment
}

// slots returns how many requests may be in flight at this entry. total is the number of
// all slots, used the number of slots that are reported as used by all entries, inFlight
// the number of requests that this entry has in flight, and entries the number of
// entries.
func (g *grant) slots(now time.Time, total, used, inFlight, entries int) int {
	if total == 0 {
		return 0
	}
	equal := (total + entries - 1) / entries
	if now.Sub(g.adjustedAt) >= grantInterval {
		g.adjustedAt = now
		g.adjust(total-used, inFlight >= equal+g.extra, entries)
	}
	return min(equal+g.extra, total)
}

// adjust raises the grant if this entry uses all of it (full), by half of what the entry
// would get if the free slots were divided equally. It lowers the grant if more slots are
// reported as used than exist (free < 0) or if this entry does not use all of its slots.
// The steps are small so that entries that see the same lagging reports do not all take
// the same slots.
func (g *grant) adjust(free int, full bool, entries int) {
	switch {
	case free < 0:
		g.extra -= (-free + entries - 1) / entries
	case full:
		g.extra += free / (2 * entries)
	default:
		g.extra /= 2
	}
	g.extra = max(g.extra, 0)
}
