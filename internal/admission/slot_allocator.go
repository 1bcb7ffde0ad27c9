package admission

import (
	"sync"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Directory lists the upstreams of a service.
type Directory interface {
	Service(name string) []upstream.Announcement
}

// SlotAllocator divides the concurrency slots of the live upstreams among the live
// entries.
type SlotAllocator struct {
	directory Directory
	entries   func() int // number of live entries, this one included

	mu     sync.Mutex
	grants map[string]*grant // by service
}

// NewSlotAllocator returns a SlotAllocator for the upstreams of dir. entries returns the
// number of entries that serve requests now, this one included.
func NewSlotAllocator(dir Directory, entries func() int) *SlotAllocator {
	return &SlotAllocator{directory: dir, entries: entries, grants: map[string]*grant{}}
}

// Slots implements Slots.
func (a *SlotAllocator) Slots(service string, inFlight int) int {
	total, used := 0, 0
	for _, u := range a.directory.Service(service) {
		total += u.Concurrency
		used += u.Running + u.Waiting
	}
	entries := max(a.entries(), 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.grants[service]
	if g == nil {
		g = &grant{adjustedAt: time.Now()}
		a.grants[service] = g
	}
	return g.slots(time.Now(), total, used, inFlight, entries)
}
