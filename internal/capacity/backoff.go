package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
)

// Bounds of the delay after an order that started no upstream.
const (
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
)

// blockedUntil returns for each place the time before which no new order is made for it
// because earlier orders failed. It is derived from the committed orders of a service, so
// a new leader continues where the previous one stopped.
func blockedUntil(orders []state.Order) map[place]time.Time {
	bySeq := slices.Clone(orders)
	slices.SortFunc(bySeq, func(a, b state.Order) int { return cmp.Compare(a.Seq, b.Seq) })
	failures := counts{}
	until := map[place]time.Time{}
	for _, o := range bySeq {
		p := place{o.Zone, o.Class}
		switch {
		case o.State == state.OrderRefused || o.Detail == state.DetailNotStarted:
			failures[p]++
			until[p] = o.StateSince.Add(backoffDelay(failures[p]))
		case o.State != state.OrderOpen:
			failures[p] = 0
			delete(until, p)
		}
	}
	return until
}

// backoffDelay returns the delay after the given number of failures in a row. It doubles
// with each failure, from initialBackoff up to maxBackoff.
func backoffDelay(failures int) time.Duration {
	d := initialBackoff
	for range failures - 1 {
		d = min(2*d, maxBackoff)
	}
	return d
}
