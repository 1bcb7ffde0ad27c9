// Package periodic runs functions at an interval and waits for a duration.
package periodic

import (
	"context"
	"time"
)

// Every calls f once per interval, for the first time after one interval, until ctx ends. A
// call that takes longer than the interval delays the next one; further calls that were due
// meanwhile are skipped.
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
