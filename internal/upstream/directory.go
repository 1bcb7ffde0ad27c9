package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// MethodAnnounce is the notice that spreads announcements between daemons.
const MethodAnnounce = "upstream.announce"

// Spreader sends a notice to every other daemon.
type Spreader interface {
	Broadcast(method string, params any)
}

// Directory is the registry of one daemon, shared by its goroutines.
type Directory struct {
	spread Spreader

	mu       sync.Mutex
	registry *Registry
	live     atomic.Pointer[[]Announcement]
	known    atomic.Pointer[[]Announcement]
}

// NewDirectory returns an empty directory.
func NewDirectory(spread Spreader) *Directory {
	d := &Directory{spread: spread, registry: NewRegistry()}
	d.live.Store(&[]Announcement{})
	d.known.Store(&[]Announcement{})
	return d
}

// Register adds the notice handler to s.
func (d *Directory) Register(s *peer.Server) {
	d.registerExchange(s)
	peer.HandleNotice(s, MethodAnnounce, func(a Announcement) {
		if a.Check() == nil {
			d.take(a, true)
		}
	})
}

// Announce takes an announcement from an upstream and spreads it.
func (d *Directory) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	if d.take(a, false) {
		d.spread.Broadcast(MethodAnnounce, a)
	}
	return nil
}

// take records a and reports whether the other daemons should be told; told
// means that they have been.
func (d *Directory) take(a Announcement, told bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	due := d.registry.Due(now, a)
	news := d.registry.Take(now, a)
	if news && (due || told) {
		d.registry.Spread(now, a.ID)
	}
	d.refresh()
	return news && due
}

// Expire drops upstreams whose announcements have run out.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
}

func (d *Directory) refresh() {
	known := d.registry.Known(time.Now())
	live := slices.DeleteFunc(slices.Clone(known), func(a Announcement) bool { return a.Silent })
	d.live.Store(&live)
	d.known.Store(&known)
}

// Live returns the usable upstreams; the slice must not be changed.
func (d *Directory) Live() []Announcement { return *d.live.Load() }

// Service returns the usable upstreams of one service.
func (d *Directory) Service(name string) []Announcement {
	var out []Announcement
	for _, a := range d.Live() {
		if a.Service == name {
			out = append(out, a)
		}
	}
	return out
}
