package control

import (
	"slices"
	"sync"
	"time"
)

// sickFor is how long a replica that did not answer is asked last.
const sickFor = 3 * time.Second

// Health remembers which replicas did not answer lately: a silent one would
// otherwise cost every call its timeout.
type Health struct {
	mu   sync.Mutex
	sick map[string]time.Time // until when, by peer address
}

// NewHealth returns a Health that knows no sick replica.
func NewHealth() *Health {
	return &Health{sick: map[string]time.Time{}}
}

// Mark records whether the replica at address answered.
func (h *Health) Mark(address string, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		delete(h.sick, address)
		return
	}
	h.sick[address] = time.Now().Add(sickFor)
}

// Order returns addresses with the sick ones last.
func (h *Health) Sorted(addresses []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Clone(addresses)
	rank := func(a string) int {
		if time.Now().Before(h.sick[a]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b string) int { return rank(a) - rank(b) })
	return out
}
