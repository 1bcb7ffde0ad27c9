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
// entries, by their shares.
type SlotAllocator struct {
	directory Directory
	share     func() float64 // of this entry, above 0 and at most 1

	mu     sync.Mutex
	grants map[string]*grant // by service
}

// NewSlotAllocator returns a SlotAllocator for the upstreams of dir. share returns the part of
// the slots that belongs to this entry: with equal parts, 1 divided by the number of entries
// that serve requests now, this one included.
func NewSlotAllocator(dir Directory, share func() float64) *SlotAllocator {
	return &SlotAllocator{directory: dir, share: share, grants: map[string]*grant{}}
}

// Slots implements Slots.
func (a *SlotAllocator) Slots(service string, inFlight int) int {
	total, used := 0, 0
	for _, u := range a.directory.Service(service) {
		total += u.Concurrency
		used += u.Running + u.Waiting
	}
	share := a.share()
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.grants[service]
	if g == nil {
		g = &grant{adjustedAt: time.Now()}
		a.grants[service] = g
	}
	return g.slots(time.Now(), total, used, inFlight, share)
}
