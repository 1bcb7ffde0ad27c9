package member

import (
	"math"
	"slices"
	"time"
)

// Bounds of Overload. A change makes callers drop connections, so that they are far apart.
const (
	// overloadRatio is the ratio of an entry's load to the median of the others above which the
	// entry becomes overloaded.
	overloadRatio = 3
	// normalRatio is the ratio below which it is overloaded no more. It is below half of
	// overloadRatio, because an overloaded entry has about half of its load.
	normalRatio = 1.25
	// minOverload is the smallest load of an overloaded entry: below it, a few long requests
	// would decide.
	minOverload  = 16
	overloadTime = 5 * time.Second  // how long the load must be above overloadRatio
	normalTime   = 30 * time.Second // how long it must be below normalRatio
	// minOthers is the number of other entries whose load must be known.
	minOthers = 2
	// loadWeight is the weight of the newest number of requests in the average. Observations are
	// a second apart.
	loadWeight = 0.2
)

// Overload decides whether an entry is overloaded: whether its requests in flight, divided by its
// weight, are far above the median of the other entries. It is a pure state machine.
type Overload struct {
	inFlight   float64 // average
	overloaded bool
	since      time.Time // since when the load calls for a change; zero if it does not
}

// Load is an entry's load as Overload sees it.
type Load struct {
	Own    float64 // requests in flight divided by the weight
	Median float64 // of the other entries; 0 if too few are known
}

// Observe records the number of requests that the entry id has in flight and returns its load.
// changed reports whether Overloaded has changed. While weighting is not active, no entry
// is overloaded.
func (o *Overload) Observe(now time.Time, id string, inFlight int, w Weighting) (l Load, changed bool) {
	o.inFlight += loadWeight * (float64(inFlight) - o.inFlight)
	l = Load{Own: o.inFlight / w.Of(id), Median: w.medianLoad(id)}
	was := o.overloaded
	if !w.Active {
		o.overloaded, o.since = false, time.Time{}
		return l, was
	}
	toChange, hold := l.Median > 0 && l.Own >= minOverload && l.Own > overloadRatio*l.Median, overloadTime
	if was {
		toChange, hold = l.Own < minOverload || l.Own < normalRatio*l.Median, normalTime
	}
	switch {
	case !toChange:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	case now.Sub(o.since) >= hold:
		o.overloaded, o.since = !was, time.Time{}
	}
	return l, o.overloaded != was
}

// Overloaded reports whether the entry is overloaded.
func (o *Overload) Overloaded() bool { return o.overloaded }

// InFlight returns the average number of requests in flight, rounded up.
func (o *Overload) InFlight() int { return int(math.Ceil(o.inFlight)) }

// medianLoad returns the median of the loads of the entries other than id that report requests in
// flight, or 0 if they are fewer than minOthers. Without requests in flight an entry may be
// idle, or its probes do not reach this daemon, as in a large deployment.
func (w Weighting) medianLoad(id string) float64 {
	var loads []float64
	for i, d := range w.entries {
		if d.ID != id && d.InFlight > 0 {
			loads = append(loads, float64(d.InFlight)*w.mean/w.ratios[i])
		}
	}
	if len(loads) < minOthers {
		return 0
	}
	slices.Sort(loads)
	return loads[len(loads)/2]
}
