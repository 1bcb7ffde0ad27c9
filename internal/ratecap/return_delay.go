package ratecap

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// ReturnDelay returns when a caller should return that none of the given upstreams of a
// service can take, because all are at the rates that they name. The delays of several
// callers are spread so that they do not return together. It returns false if one of the
// upstreams may be tried now.
func (k *Keeper) ReturnDelay(service string, list []upstream.Announcement) (time.Duration, bool) {
	now := time.Now()
	if len(list) == 0 || k.unbounded(now, list[0]) {
		return 0, false // one of them may be tried now
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	earliest, rate := time.Duration(0), 0.0
	for i, a := range list {
		wait := k.wait(now, a)
		if wait == 0 {
			return 0, false
		}
		if i == 0 || wait < earliest {
			earliest = wait
		}
		c, _ := k.bound(now, a)
		rate += c.RateAt(now)
	}
	gap := time.Duration(min(float64(max(k.deployment.Daemons(), 1))/rate, maxReturnDelay.Seconds()) * float64(time.Second))
	next := now.Add(earliest)
	if spread := k.returns[service].Add(gap); spread.After(next) {
		next = spread
	}
	if latest := now.Add(maxReturnDelay); next.After(latest) {
		next = latest
	}
	k.returns[service] = next
	return next.Sub(now), true
}
