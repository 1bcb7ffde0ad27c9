// Package periodic waits and runs upkeep at an interval.
package periodic

import (
	"context"
	"time"
)

// Every calls f each interval, first after one interval, until ctx ends. A call
// that takes longer than the interval delays the next; none is made up for.
func Every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
