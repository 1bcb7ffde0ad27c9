package upstream

import (
	"cmp"
	"slices"
	"time"
)

// spreadPart is the part of its TTL after which an announcement is spread again
// when it says nothing new: one notice may be lost before it runs out.
const spreadPart = 0.4

type known struct {
	a      Announcement
	until  time.Time
	spread time.Time // when the daemons last notified each other
}

// Registry is a plain state machine over announcements; the caller provides
// time and locking.
type Registry struct {
	byID map[string]known
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]known{}}
}

// Take records a and reports whether it was news. An older incarnation or
// sequence number is ignored, but a withdrawal counts whatever its number, and an
// incarnation that is leaving stays so: a late announcement cannot bring it back.
func (r *Registry) Take(now time.Time, a Announcement) bool {
	old, ok := r.byID[a.ID]
	if ok {
		order := cmp.Or(cmp.Compare(a.Incarnation, old.a.Incarnation), cmp.Compare(a.Seq, old.a.Seq))
		withdrawn := a.Leaving && !old.a.Leaving && a.Incarnation == old.a.Incarnation
		if order <= 0 && !withdrawn {
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
	r.byID[a.ID] = known{a, until, old.spread}
	return true
}

// Due reports whether the other daemons need a: it changes more than the load, or
// their record is about to expire. Call it before Take.
func (r *Registry) Due(now time.Time, a Announcement) bool {
	old, ok := r.byID[a.ID]
	return !ok || !old.a.same(a) || now.Sub(old.spread) >= time.Duration(spreadPart*float64(a.ttl()))
}

// Spread records that all daemons were notified of the upstream.
func (r *Registry) Spread(now time.Time, id string) {
	if k, ok := r.byID[id]; ok {
		k.spread = now
		r.byID[id] = k
	}
}

// Live returns the upstreams whose announcements still hold and that are not
// leaving, by id.
func (r *Registry) Live(now time.Time) []Announcement {
	return slices.DeleteFunc(r.Known(now), func(a Announcement) bool { return a.Silent })
}

// Known returns the upstreams that are not leaving, by id, with those that have
// gone silent marked. Of two at one address the newer incarnation is known: the
// other one has ended.
func (r *Registry) Known(now time.Time) []Announcement {
	var out []Announcement
	at := map[string]int64{}
	for id, k := range r.byID {
		if now.Sub(k.until) > silentTime || k.a.Leaving && now.After(k.until) {
			delete(r.byID, id)
			continue
		}
		at[k.a.Address] = max(at[k.a.Address], k.a.Incarnation)
	}
	for _, k := range r.byID {
		if k.a.Leaving || at[k.a.Address] > k.a.Incarnation {
			continue
		}
		k.a.Silent = now.After(k.until)
		out = append(out, k.a)
	}
	slices.SortFunc(out, func(a, b Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns every announcement, those of leaving upstreams included.
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
