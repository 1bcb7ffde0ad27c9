package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/peer"
)

// MethodAnnounce is the notice that distributes announcements between daemons.
const MethodAnnounce = "upstream.announce"

// Broadcaster sends a notice to all other daemons.
type Broadcaster interface {
	Broadcast(method string, params any)
}

// Directory holds the Registry of one daemon and exchanges announcements with the other
// daemons. It may be used by many goroutines.
type Directory struct {
	broadcaster Broadcaster

	mu       sync.Mutex
	registry *Registry
	live     atomic.Pointer[[]Announcement]
	known    atomic.Pointer[[]Announcement]
	departed atomic.Pointer[map[string]int64] // newest departed incarnation, by id
}

// NewDirectory returns an empty Directory that sends its notices through broadcaster.
func NewDirectory(broadcaster Broadcaster) *Directory {
	d := &Directory{broadcaster: broadcaster, registry: NewRegistry()}
	d.live.Store(&[]Announcement{})
	d.known.Store(&[]Announcement{})
	d.departed.Store(&map[string]int64{})
	return d
}

// Register adds the handlers of the directory to s.
func (d *Directory) Register(s *peer.Server) {
	d.registerExchange(s)
	peer.HandleNotice(s, MethodAnnounce, func(a Announcement) {
		if a.Check() == nil {
			d.record(a, true)
		}
	})
}

// Announce records an announcement from an upstream and sends it to the other daemons if
// they need it. Error: BodyMalformed.
func (d *Directory) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	if d.record(a, false) {
		d.broadcaster.Broadcast(MethodAnnounce, a)
	}
	return nil
}

// record records a and reports whether it must be sent to the other daemons. notified
// means that they have received it already.
func (d *Directory) record(a Announcement, notified bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	due := d.registry.ShouldNotify(now, a)
	changed := d.registry.Record(now, a)
	if changed && (due || notified) {
		d.registry.MarkNotified(now, a.ID)
	}
	d.refresh()
	return changed && due
}

// recordDeparture records that a has departed, see Registry.RecordDeparture. The lists are
// up to date when it returns.
func (d *Directory) recordDeparture(a Announcement) (before string, changed bool) {
	if d.Left(a) {
		return "", false // every answer of a leaving upstream says it
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before, changed = d.registry.RecordDeparture(time.Now(), a)
	if changed {
		departed := d.registry.departures.Snapshot()
		d.departed.Store(&departed)
		d.refresh()
	}
	return before, changed
}

// Left reports whether this incarnation of a has said in an answer that it leaves.
func (d *Directory) Left(a Announcement) bool {
	incarnation, ok := (*d.departed.Load())[a.ID]
	return ok && a.Incarnation <= incarnation
}

// Expire removes upstreams whose announcements have expired from the lists.
func (d *Directory) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
}

// refresh updates the lists of live and known upstreams. The caller holds d.mu.
func (d *Directory) refresh() {
	known := d.registry.Known(time.Now())
	live := slices.DeleteFunc(slices.Clone(known), func(a Announcement) bool { return a.Silent })
	d.live.Store(&live)
	d.known.Store(&known)
}

// Live returns the upstreams that are live, not leaving and not departed. The slice must
// not be changed.
func (d *Directory) Live() []Announcement { return *d.live.Load() }

// Service returns the live upstreams of one service.
func (d *Directory) Service(name string) []Announcement {
	var out []Announcement
	for _, a := range d.Live() {
		if a.Service == name {
			out = append(out, a)
		}
	}
	return out
}
