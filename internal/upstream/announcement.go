// Package upstream keeps the soft list of upstreams, built from what they
// announce. Nothing here is durable: a new daemon knows every upstream after one
// announcement interval.
package upstream

import "time"

// Announcement is what an upstream says of itself, to any entry.
type Announcement struct {
	ID            string  `json:"id"`
	Incarnation   int64   `json:"incarnation"` // grows with every start of the upstream
	Seq           uint64  `json:"seq"`         // grows with every announcement
	Service       string  `json:"service"`
	Address       string  `json:"address"` // IP:port of HTTP
	Zone          string  `json:"zone"`
	Class         string  `json:"class"`                    // regular or cheap
	Order         string  `json:"order,omitempty"`          // id of the order that brought it
	Version       uint64  `json:"version,omitempty"`        // weight version loaded; 0 for a plain service
	Loading       uint64  `json:"loading,omitempty"`        // weight version being loaded
	LoadingFrom   string  `json:"loading_from,omitempty"`   // address of the upstream it loads from; empty: the weight store
	SharesWeights bool    `json:"shares_weights,omitempty"` // serves its version to other upstreams
	Concurrency   int     `json:"concurrency"`              // requests it runs at once
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	TTL           float64 `json:"ttl"` // seconds
	Leaving       bool    `json:"leaving,omitempty"`
	ReclaimAt     int64   `json:"reclaim_at,omitempty"` // Unix milliseconds when it will be taken away; 0: not known
	ChecksFencing bool    `json:"checks_fencing,omitempty"`
	Models        string  `json:"models,omitempty"`   // weight versions by model, "a=1,b=3", where several are loaded
	Software      string  `json:"software,omitempty"` // version of the program
	Silent        bool    `json:"-"`                  // not heard of within its TTL
}

// Classes of upstreams.
const (
	ClassRegular = "regular"
	// ClassCheap may be taken away at any time.
	ClassCheap = "cheap"
)

// Limits of announcements.
const (
	// MaxTTL bounds how long a silent upstream is believed.
	MaxTTL = 10 * time.Second
	// silentTime is how long after its TTL an upstream is still known: it may be
	// cut off from the daemons that take announcements and serve all the same.
	silentTime = 40 * time.Second
	// tombstoneTTL is how long a leaving incarnation stays known as such.
	tombstoneTTL = 5 * time.Minute
)

func (a Announcement) ttl() time.Duration {
	d := time.Duration(a.TTL * float64(time.Second))
	return min(max(d, time.Second), MaxTTL)
}

// same reports whether b says nothing new but the load.
func (a Announcement) same(b Announcement) bool {
	b.Seq, b.Running, b.Waiting = a.Seq, a.Running, a.Waiting
	return a == b
}
