package upstream

import "time"

// Sighting is an answer in which an upstream says that it leaves.
type Sighting struct {
	Upstream Announcement // the upstream that was asked
	Request  string       // id of the request; empty if it had none
	Status   int          // HTTP status of the answer
}

// DepartureTracker is told of the upstreams that leave, and says which have left.
type DepartureTracker interface {
	// Observe records that the incarnation of an upstream takes no more new work.
	Observe(s Sighting)
	// Left reports whether an incarnation must not be sent new work.
	Left(a Announcement) bool
}

// ColdTracker is told of the upstreams that say in an answer that they are cold.
type ColdTracker interface {
	// Cold records that the incarnation of an upstream stays cold until the given time.
	Cold(a Announcement, until time.Time)
}

// IgnoreDepartures is a DepartureTracker that keeps nothing.
type IgnoreDepartures struct{}

// Observe implements DepartureTracker.
func (IgnoreDepartures) Observe(Sighting) {}

// Left implements DepartureTracker.
func (IgnoreDepartures) Left(Announcement) bool { return false }
