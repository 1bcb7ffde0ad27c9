package ratecap

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// evenShares are the requests that a daemon may send while it reaches no leader: to each
// upstream its even share of the rate, one request at a time. The daemons begin at different
// times, so that their first requests do not come together.
type evenShares struct {
	daemon string
	next   map[string]time.Time // by upstream
}

func newEvenShares(daemon string) *evenShares {
	return &evenShares{daemon: daemon, next: map[string]time.Time{}}
}

// acquire reports whether a request may be sent now, and if not, how long it has to wait.
// daemons is the number of daemons that share the rate.
func (s *evenShares) acquire(now time.Time, id string, rate float64, daemons int) (ok bool, wait time.Duration) {
	interval := time.Duration(min(float64(max(daemons, 1))/rate, math.MaxInt32) * float64(time.Second))
	next, known := s.next[id]
	if !known {
		phase := float64(xxhash.Sum64String(s.daemon+"\x00"+id)) / math.MaxUint64
		next = now.Add(time.Duration(phase * float64(interval)))
		s.next[id] = next
	}
	if latest := now.Add(interval); next.After(latest) {
		next = latest // the rate has risen since
		s.next[id] = next
	}
	if now.Before(next) {
		return false, next.Sub(now)
	}
	s.next[id] = now.Add(interval)
	return true, 0
}
