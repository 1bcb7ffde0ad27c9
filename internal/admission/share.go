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

// Share splits the slots of the live upstreams over the live entries.
type SlotAllocator struct {
	directory Directory
	entries   func() int // that serve now, this one included

	mu     sync.Mutex
	grants map[string]*grant
}

// NewShare returns a Share over the upstreams of dir.
func NewSlotAllocator(dir Directory, entries func() int) *SlotAllocator {
	return &SlotAllocator{directory: dir, entries: entries, grants: map[string]*grant{}}
}

// Slots implements Slots.
func (s *SlotAllocator) Slots(service string, inFlight int) int {
	total, used := 0, 0
	for _, u := range s.directory.Service(service) {
		total += u.Concurrency
		used += u.Running + u.Waiting
	}
	entries := max(s.entries(), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.grants[service]
	if g == nil {
		g = &grant{at: time.Now()}
		s.grants[service] = g
	}
	return g.slots(time.Now(), total, used, inFlight, entries)
}
