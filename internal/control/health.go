package control

import (
	"slices"
	"sync"
	"time"
)

// unresponsiveFor is how long a replica that did not answer is called after all others.
const unresponsiveFor = 3 * time.Second

// Health records which replicas did not answer recently. Without it, every call would
// wait for the timeout of an unresponsive replica.
type Health struct {
	mu                sync.Mutex
	unresponsiveUntil map[string]time.Time // by peer address
}

// NewHealth returns a Health without unresponsive replicas.
func NewHealth() *Health {
	return &Health{unresponsiveUntil: map[string]time.Time{}}
}

// Mark records whether the replica at address answered.
func (h *Health) Mark(address string, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		delete(h.unresponsiveUntil, address)
		return
	}
	h.unresponsiveUntil[address] = time.Now().Add(unresponsiveFor)
}

// Sorted returns a copy of addresses with those of unresponsive replicas last.
func (h *Health) Sorted(addresses []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := slices.Clone(addresses)
	rank := func(a string) int {
		if time.Now().Before(h.unresponsiveUntil[a]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b string) int { return rank(a) - rank(b) })
	return out
}
