package upstream

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotstream/apricotstream/internal/member"
	"github.com/apricotstream/apricotstream/internal/peer"
)

// MethodAnnounce is the notice that distributes announcements between daemons.
const MethodAnnounce = "upstream.announce"

// startPeriod is how long after its start a daemon sends every announcement to the others. When all
// have restarted, it does not know them yet at the first one, and the next one that is due without
// this comes two or three announcements later; until then the entries know a part of the upstreams.
const startPeriod = 5 * time.Second

// maxListedServices bounds the memory for the names of services, which upstreams announce. It is
// several times the number of services of a deployment.
const maxListedServices = 4096

// Group reaches the other daemons.
type Group interface {
	// Broadcast sends a notice to all of them without waiting. It may be lost.
	Broadcast(method string, params any)
	// ConfirmAll makes a call to all of them and counts the replies.
	ConfirmAll(ctx context.Context, method string, params any, timeout time.Duration) (member.ZoneReply, error)
}

// Directory holds the Registry of one daemon and exchanges announcements with the other
// daemons. It may be used by many goroutines.
type Directory struct {
	// OnFirst is called after the first upstream of a service has been recorded. It must not
	// block. It may be nil and must be set before the first announcement.
	OnFirst func(service string)

	// Zones holds the region of each availability zone. It must be set before the first
	// announcement and not be changed afterwards.
	Zones map[string]string

	group Group

	mu        sync.Mutex
	registry  *Registry
	startedAt time.Time
	services  int // in listed
	// listed has the services of which an upstream has been recorded that was not leaving. Requests
	// read it without the lock.
	listed sync.Map
	// lists is nil when the lists have to be made again from the registry.
	lists     atomic.Pointer[lists]
	evacuated atomic.Pointer[map[string]bool]  // availability zones that get nothing
	departed  atomic.Pointer[map[string]int64] // newest departed incarnation, by id
}

// NewDirectory returns an empty Directory whose announcements go to the daemons of group.
func NewDirectory(group Group) *Directory {
	d := &Directory{group: group, registry: NewRegistry(), startedAt: time.Now()}
	d.departed.Store(&map[string]int64{})
	d.evacuated.Store(&map[string]bool{})
	return d
}

// Register adds the handlers of the directory to s.
func (d *Directory) Register(s *peer.Server) {
	d.registerExchange(s)
	peer.HandleNotice(s, MethodAnnounce, func(a Announcement) {
		if a.Check() == nil {
			d.record(a, true)
			d.markHeard(a)
		}
	})
}

// Announce records an announcement from an upstream and sends it to the other daemons if
// they need it. Error: BodyMalformed.
func (d *Directory) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	recorded, due := d.record(a, false)
	d.markHeard(a)
	if due {
		d.group.Broadcast(MethodAnnounce, recorded)
	}
	return nil
}

func (d *Directory) markHeard(a Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.MarkHeard(time.Now(), a)
}

// HeardAt returns when this daemon last got a heartbeat of an incarnation, or a notice of one. It
// returns the zero time if it got none.
func (d *Directory) HeardAt(id string, incarnation int64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.registry.HeardAt(id, incarnation)
}

// record records a. It returns what is believed now, and whether that must be sent to the
// other daemons. notified means that they have received a already.
func (d *Directory) record(a Announcement, notified bool) (recorded Announcement, notify bool) {
	recorded, notify, first := d.recordLocked(a, notified)
	if first && d.OnFirst != nil {
		d.OnFirst(recorded.Service)
	}
	return recorded, notify
}

// recordLocked is record without the call of OnFirst. first means that a is the first upstream of
// its service.
func (d *Directory) recordLocked(a Announcement, notified bool) (recorded Announcement, notify, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	a = d.registry.WithSoftware(a)
	due := d.registry.ShouldNotify(now, a) || now.Sub(d.startedAt) < startPeriod
	changed := d.registry.Record(now, a)
	if changed && (due || notified) {
		d.registry.MarkNotified(now, a.ID)
	}
	d.lists.Store(nil)
	if first = changed && !a.Leaving && d.services < maxListedServices && !d.SeenService(a.Service); first {
		d.listed.Store(a.Service, true)
		d.services++
	}
	return a, changed && due, first
}

// SeenService reports whether an upstream of a service has been recorded since the start of this
// process that was not leaving then.
func (d *Directory) SeenService(service string) bool {
	_, ok := d.listed.Load(service)
	return ok
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
		d.lists.Store(nil)
	}
	return before, changed
}

// recordCold records that this incarnation of a stays cold until the given time, for this daemon
// only: the others learn it from the next announcement.
func (d *Directory) recordCold(a Announcement, until time.Time) {
	if known := time.UnixMilli(a.ColdUntil); until.Sub(known) <= coldTolerance {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.registry.RecordCold(a, until) {
		d.lists.Store(nil)
	}
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

// lists are immutable lists of upstreams.
type lists struct {
	listed []Announcement // those of evacuated zones included
	known  []Announcement
	live   []Announcement
}

// current returns the lists. They are made at the first use after a change, because a
// daemon hears of many more changes than it serves requests.
func (d *Directory) current() *lists {
	if l := d.lists.Load(); l != nil {
		return l
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refresh()
}

// refresh makes the lists. The caller holds d.mu.
func (d *Directory) refresh() *lists {
	l := &lists{listed: d.registry.Known(time.Now())}
	for i := range l.listed {
		a := &l.listed[i]
		a.Region = d.Zones[a.Zone]
		if a.Evacuated = d.InEvacuatedZone(*a); !a.Evacuated {
			l.known = append(l.known, *a)
		}
	}
	for _, a := range l.known {
		if !a.Silent {
			l.live = append(l.live, a)
		}
	}
	d.lists.Store(l)
	return l
}

// Evacuate hides the upstreams of these availability zones from Known, Live and Service, and
// shows those of all others. Their announcements are recorded as before, so that they can be
// used at once when the evacuation ends. It reports whether the zones have changed. The map
// must not be changed afterwards.
func (d *Directory) Evacuate(zones map[string]bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(*d.evacuated.Load(), zones) {
		return false
	}
	d.evacuated.Store(&zones)
	d.refresh()
	return true
}

// InEvacuatedZone reports whether nothing may be sent to a because its availability zone is
// evacuated.
func (d *Directory) InEvacuatedZone(a Announcement) bool { return (*d.evacuated.Load())[a.Zone] }

// RegionOf returns the region of a, empty if it is not known.
func (d *Directory) RegionOf(a Announcement) string { return d.Zones[a.Zone] }

// Listed returns the upstreams that Known returns and those of evacuated zones, which are
// marked. It is for observing upstreams; nothing may be sent to the marked ones. The slice must
// not be changed.
func (d *Directory) Listed() []Announcement { return d.current().listed }

// Live returns the upstreams of zones that are not evacuated that are live, not leaving and not
// departed. The slice must not be changed.
func (d *Directory) Live() []Announcement { return d.current().live }

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
