// Package upstream maintains the list of upstreams from their announcements. Nothing is
// persisted: a new daemon knows every upstream after one announcement interval.
package upstream

import "time"

// Announcement is the state that an upstream reports about itself. It may be sent to any
// daemon.
type Announcement struct {
	ID            string  `json:"id"`
	Incarnation   int64   `json:"incarnation"` // increases with every start of the upstream
	Seq           uint64  `json:"seq"`         // increases with every announcement
	Service       string  `json:"service"`
	Address       string  `json:"address"` // IP:port of its HTTP server
	Zone          string  `json:"zone"`
	Class         string  `json:"class"`                    // regular or cheap
	Order         string  `json:"order,omitempty"`          // id of the order that started it
	Version       uint64  `json:"version,omitempty"`        // weight version loaded; 0 for a plain HTTP service
	Loading       uint64  `json:"loading,omitempty"`        // weight version being loaded
	LoadingFrom   string  `json:"loading_from,omitempty"`   // address of the upstream it loads from; empty for the weight store
	SharesWeights bool    `json:"shares_weights,omitempty"` // serves its weight version to other upstreams
	Concurrency   int     `json:"concurrency"`              // number of concurrency slots
	Running       int     `json:"running"`                  // requests in flight
	Waiting       int     `json:"waiting"`                  // requests in its queue
	TTL           float64 `json:"ttl"`                      // seconds
	Leaving       bool    `json:"leaving,omitempty"`        // withdrawn; gets no new requests
	ReclaimAt     int64   `json:"reclaim_at,omitempty"`     // Unix milliseconds when it will be reclaimed; 0 if unknown
	ColdUntil     int64   `json:"cold_until,omitempty"`     // Unix milliseconds when it stops being cold; 0 if it is not
	ChecksFencing bool    `json:"checks_fencing,omitempty"` // rejects outdated fencing tokens
	Models        string  `json:"models,omitempty"`         // weight versions by model, such as "a=1,b=3", if several are loaded
	Software      string  `json:"software,omitempty"`       // version of the program
	Silent        bool    `json:"-"`                        // its newest announcement has expired
	Evacuated     bool    `json:"-"`                        // its availability zone is evacuated; set in lists only
	Region        string  `json:"-"`                        // of its zone, empty if it is not known; set in lists only
}

// SoftwareUnknown is the software version of an upstream whose announcements contradict each
// other. It gets new work, but goes on with no text.
const SoftwareUnknown = "?"

// Classes of upstreams.
const (
	ClassRegular = "regular"
	// ClassCheap upstreams may be reclaimed at any time.
	ClassCheap = "cheap"
)

// Limits of announcements.
const (
	// MaxTTL is the longest time for which an announcement is valid.
	MaxTTL = 10 * time.Second
	// silentRetention is how long after its TTL a silent upstream is still listed as
	// known. It may be partitioned from the daemons that receive announcements and still
	// serve requests.
	silentRetention = 40 * time.Second
	// maxConcurrency bounds what one upstream adds to sums of concurrency slots.
	maxConcurrency = 1 << 16
	// MaxSoftwareBytes bounds the name of a software version.
	MaxSoftwareBytes = 256
	// tombstoneTTL is how long the tombstone of a leaving incarnation is kept.
	tombstoneTTL = 5 * time.Minute
	// coldTolerance is how far the ends of one cold period may differ that two announcements
	// name. Each says how long the period lasts from its arrival.
	coldTolerance = 200 * time.Millisecond
	// coldMargin is added to the end of a cold period, because the clocks of daemons differ.
	coldMargin = 250 * time.Millisecond
)

// Cold reports whether the upstream takes only a part of its load, because it has just
// started or its caches are empty.
func (a Announcement) Cold(now time.Time) bool {
	return a.ColdUntil != 0 && now.Before(time.UnixMilli(a.ColdUntil).Add(coldMargin))
}

// ttl returns the TTL of a, which is at least one second and at most MaxTTL.
func (a Announcement) ttl() time.Duration {
	d := time.Duration(a.TTL * float64(time.Second))
	return min(max(d, time.Second), MaxTTL)
}

// equalExceptLoad reports whether a and b are equal except for the sequence number and
// the load. Two announcements of one cold period differ by the time that they took to arrive.
func (a Announcement) equalExceptLoad(b Announcement) bool {
	b.Seq, b.Running, b.Waiting = a.Seq, a.Running, a.Waiting
	if d := a.ColdUntil - b.ColdUntil; a.ColdUntil != 0 && b.ColdUntil != 0 && max(d, -d) <= coldTolerance.Milliseconds() {
		b.ColdUntil = a.ColdUntil
	}
	b.Region = a.Region // set in lists only
	return a == b
}
