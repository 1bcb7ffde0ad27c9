package upstream

import "time"

// maxDepartures bounds the memory of departures: at most 63 bytes of id and about 100 more
// for each. It is several times the largest number of upstreams of a deployment.
const maxDepartures = 1 << 14

// Departures holds the incarnations of upstreams that have said in an answer to this daemon
// that they leave. Unlike a tombstone, a departure does not expire: an announcement of the
// incarnation may come from another daemon at any later time. It is a pure state machine.
type Departures struct {
	limit int // most departures held
	byID  map[string]departure
}

type departure struct {
	incarnation int64     // newest one that has left; older ones have ended
	mentionedAt time.Time // when the upstream last left or was announced
}

// NewDepartures returns a Departures that holds at most limit departures.
func NewDepartures(limit int) *Departures {
	return &Departures{limit: limit, byID: map[string]departure{}}
}

// Record records that an incarnation has left and reports whether that is new. When too
// many are held, it drops the one that was not mentioned for the longest time.
func (d *Departures) Record(now time.Time, id string, incarnation int64) bool {
	old, ok := d.byID[id]
	if ok && incarnation <= old.incarnation {
		d.Mention(now, id)
		return false
	}
	d.byID[id] = departure{incarnation, now}
	if len(d.byID) > d.limit {
		d.dropOldest(id)
	}
	return true
}

// dropOldest drops the departure that was not mentioned for the longest time, but not that
// of the upstream called kept.
func (d *Departures) dropOldest(kept string) {
	oldest := ""
	for id, x := range d.byID {
		if id != kept && (oldest == "" || x.mentionedAt.Before(d.byID[oldest].mentionedAt)) {
			oldest = id
		}
	}
	delete(d.byID, oldest)
}

// Mention records that an upstream was announced, so that its departure is still needed.
func (d *Departures) Mention(now time.Time, id string) {
	if x, ok := d.byID[id]; ok {
		x.mentionedAt = now
		d.byID[id] = x
	}
}

// Left reports whether an incarnation has left.
func (d *Departures) Left(id string, incarnation int64) bool {
	x, ok := d.byID[id]
	return ok && incarnation <= x.incarnation
}

// Snapshot returns the newest incarnation that has left, by id.
func (d *Departures) Snapshot() map[string]int64 {
	out := make(map[string]int64, len(d.byID))
	for id, x := range d.byID {
		out[id] = x.incarnation
	}
	return out
}
