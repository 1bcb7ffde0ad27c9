package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
)

// Pauses after orders that brought no upstream.
const (
	firstPause = 5 * time.Second
	maxPause   = 5 * time.Minute
)

// backoff derives from a service's orders until when each place is not asked
// again. The orders are committed, so a new leader continues where the old one stopped.
func backoff(orders []state.Order) map[place]time.Time {
	bySeq := slices.Clone(orders)
	slices.SortFunc(bySeq, func(a, b state.Order) int { return cmp.Compare(a.Seq, b.Seq) })
	failures := counts{}
	until := map[place]time.Time{}
	for _, o := range bySeq {
		p := place{o.Zone, o.Class}
		switch {
		case o.State == state.OrderRefused || o.Detail == state.DetailNotStarted:
			failures[p]++
			until[p] = o.StateSince.Add(pause(failures[p]))
		case o.State != state.OrderOpen:
			failures[p] = 0
			delete(until, p)
		}
	}
	return until
}

func pause(failures int) time.Duration {
	d := firstPause
	for range failures - 1 {
		d = min(2*d, maxPause)
	}
	return d
}
