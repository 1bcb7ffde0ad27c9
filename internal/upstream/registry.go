package upstream

import (
	"cmp"
	"slices"
	"time"
)

// renotifyTTLFraction is the fraction of its TTL after which an unchanged announcement is
// sent to the other daemons again. It is below one half, so that an announcement does not
// expire there if one notice is lost.
const renotifyTTLFraction = 0.4

// record is the newest announcement of an upstream.
type record struct {
	a          Announcement
	expiresAt  time.Time
	notifiedAt time.Time // when all daemons were last notified
	heardAt    time.Time // when this daemon last got it as a heartbeat or a notice of one
	confirmed  bool      // the withdrawal of this incarnation was acknowledged to the upstream
}

// Registry is a pure state machine over announcements. The caller provides the time and
// the locking.
type Registry struct {
	byID       map[string]record
	departures *Departures
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]record{}, departures: NewDepartures(maxDepartures)}
}

// Record records a and reports whether it replaced an older announcement. An older
// incarnation or sequence number is ignored, except that the withdrawal of the current
// incarnation counts whatever its sequence number. A leaving incarnation stays leaving,
// so a late announcement cannot bring it back. An older sequence number counts once the
// newest announcement has expired: the newer number was not the upstream's own.
func (r *Registry) Record(now time.Time, a Announcement) bool {
	r.departures.Mention(now, a.ID)
	a = r.WithSoftware(a)
	old, ok := r.byID[a.ID]
	if ok {
		order := cmp.Or(cmp.Compare(a.Incarnation, old.a.Incarnation), cmp.Compare(a.Seq, old.a.Seq))
		withdrawn := a.Leaving && !old.a.Leaving && a.Incarnation == old.a.Incarnation
		refuted := !old.a.Leaving && a.Incarnation == old.a.Incarnation && a.Seq < old.a.Seq && now.After(old.expiresAt)
		if order <= 0 && !withdrawn && !refuted {
			return false
		}
		if a.Incarnation == old.a.Incarnation && old.a.Leaving {
			a.Leaving = true
		}
	}
	until := now.Add(a.ttl())
	if a.Leaving {
		until = now.Add(tombstoneTTL)
	}
	k := record{a: a, expiresAt: until, notifiedAt: old.notifiedAt}
	if a.Incarnation == old.a.Incarnation {
		k.heardAt, k.confirmed = old.heardAt, old.confirmed
	}
	r.byID[a.ID] = k
	return true
}

// WithSoftware returns a with the software version that is believed of it. An incarnation is one
// process, whose version does not change: an announcement without one says nothing, and if two
// of them differ, one is not the upstream's own, and neither is believed.
func (r *Registry) WithSoftware(a Announcement) Announcement {
	old, ok := r.Get(a.ID)
	switch {
	case !ok || old.Incarnation != a.Incarnation || old.Software == a.Software || old.Software == "":
	case a.Software == "":
		a.Software = old.Software
	default:
		a.Software = SoftwareUnknown
	}
	return a
}

// Withdrawal returns the withdrawal to record for a, which another daemon sends. One
// without an incarnation comes from a daemon that does not know the upstream, and applies to
// the current incarnation. It must not be used for announcements of an exchange, where such
// a record may be older than the current incarnation.
func (r *Registry) Withdrawal(a Announcement) Announcement {
	if known, ok := r.Get(a.ID); ok && a.Incarnation == 0 {
		a = known
	}
	a.Leaving = true
	return a
}

// MarkConfirmed records that the withdrawal of an incarnation was acknowledged to the
// upstream, so that it need not be sent to the other daemons again.
func (r *Registry) MarkConfirmed(id string, incarnation int64) {
	if k, ok := r.byID[id]; ok && k.a.Incarnation == incarnation && k.a.Leaving {
		k.confirmed = true
		r.byID[id] = k
	}
}

// Confirmed reports whether MarkConfirmed was called for an incarnation.
func (r *Registry) Confirmed(id string, incarnation int64) bool {
	k, ok := r.byID[id]
	return ok && k.a.Incarnation == incarnation && k.confirmed
}

// ShouldNotify reports whether the other daemons need a: it differs in more than the
// load, or their record expires soon. It must be called before Record.
func (r *Registry) ShouldNotify(now time.Time, a Announcement) bool {
	old, ok := r.byID[a.ID]
	return !ok || !old.a.equalExceptLoad(a) || now.Sub(old.notifiedAt) >= time.Duration(renotifyTTLFraction*float64(a.ttl()))
}

// RecordCold records that the incarnation of a has said in an answer until when it stays cold. It
// reports whether that changed the record by more than the tolerance of announcements.
func (r *Registry) RecordCold(a Announcement, until time.Time) bool {
	k, ok := r.byID[a.ID]
	if !ok || k.a.Incarnation != a.Incarnation || until.Sub(time.UnixMilli(k.a.ColdUntil)) <= coldTolerance {
		return false
	}
	k.a.ColdUntil = until.UnixMilli()
	k.notifiedAt = time.Time{} // the other daemons have not heard of it
	r.byID[a.ID] = k
	return true
}

// MarkNotified records that all daemons were notified of the upstream.
func (r *Registry) MarkNotified(now time.Time, id string) {
	if k, ok := r.byID[id]; ok {
		k.notifiedAt = now
		r.byID[id] = k
	}
}

// MarkHeard records that a has just come as a heartbeat of its upstream, or as a notice of one. It must
// be called after Record. Announcements of an exchange may be as old as the last heartbeat.
func (r *Registry) MarkHeard(now time.Time, a Announcement) {
	if k, ok := r.byID[a.ID]; ok && k.a.Incarnation == a.Incarnation && k.a.Seq <= a.Seq {
		k.heardAt = now
		r.byID[a.ID] = k
	}
}

// HeardAt returns when MarkHeard was last called for an incarnation. It returns the zero time if it
// was not.
func (r *Registry) HeardAt(id string, incarnation int64) time.Time {
	if k, ok := r.byID[id]; ok && k.a.Incarnation == incarnation {
		return k.heardAt
	}
	return time.Time{}
}

// What a daemon believed of an incarnation before it departed.
const (
	beforeUnknown  = "unknown"
	beforeReady    = "ready"
	beforeSilent   = "silent"
	beforeLeaving  = "leaving"  // withdrawn by its announcement
	beforeReplaced = "replaced" // a newer incarnation is known
)

// RecordDeparture records that the incarnation of a has said in an answer that it leaves.
// It reports what was believed of it before, and whether the departure is new. Departures
// are not part of the announcements that daemons exchange.
func (r *Registry) RecordDeparture(now time.Time, a Announcement) (before string, changed bool) {
	k, ok := r.byID[a.ID]
	switch {
	case !ok || k.a.Incarnation < a.Incarnation:
		before = beforeUnknown
	case k.a.Incarnation > a.Incarnation:
		before = beforeReplaced
	case k.a.Leaving:
		before = beforeLeaving
	case now.After(k.expiresAt):
		before = beforeSilent
	default:
		before = beforeReady
	}
	return before, r.departures.Record(now, a.ID, a.Incarnation)
}

// Live returns the upstreams whose announcements have not expired and that are not
// leaving or departed, sorted by id.
func (r *Registry) Live(now time.Time) []Announcement {
	return slices.DeleteFunc(r.Known(now), func(a Announcement) bool { return a.Silent })
}

// Known returns the upstreams that are not leaving and have not departed, sorted by id.
// Those whose announcements have expired are marked as silent. Of several upstreams at one
// address only the newest incarnation is returned, because the others must have ended.
func (r *Registry) Known(now time.Time) []Announcement {
	var out []Announcement
	newestAt := map[string]int64{}
	for id, k := range r.byID {
		if now.Sub(k.expiresAt) > silentRetention || k.a.Leaving && now.After(k.expiresAt) {
			delete(r.byID, id)
			continue
		}
		newestAt[k.a.Address] = max(newestAt[k.a.Address], k.a.Incarnation)
	}
	for _, k := range r.byID {
		if k.a.Leaving || newestAt[k.a.Address] > k.a.Incarnation || r.departures.Left(k.a.ID, k.a.Incarnation) {
			continue
		}
		k.a.Silent = now.After(k.expiresAt)
		out = append(out, k.a)
	}
	slices.SortFunc(out, func(a, b Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns the newest announcements of all upstreams, including leaving ones, sorted
// by id.
func (r *Registry) All() []Announcement {
	var out []Announcement
	for _, k := range r.byID {
		out = append(out, k.a)
	}
	slices.SortFunc(out, func(a, b Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Get returns the newest announcement of an upstream.
func (r *Registry) Get(id string) (Announcement, bool) {
	k, ok := r.byID[id]
	return k.a, ok
}
