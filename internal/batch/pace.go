package batch

import (
	"maps"
	"slices"
	"time"
)

// Learning of the pace of engines.
const (
	// paceWeight is the weight of the newest interval in the moving average.
	paceWeight = 0.4
	// paceMemory is the age from which a pace says nothing.
	paceMemory = 3 * time.Second
	// moveSlowness is how much slower than the median an engine must be before
	// its running items go on elsewhere.
	moveSlowness = 2.2
	// minSamples is how many engines must have a pace before one counts as slow.
	minSamples = 3
)

// Paces learns the time that engines take for an event.
type Paces struct {
	byID map[string]engineSample
}

type engineSample struct {
	perEvent float64 // seconds
	at       time.Time
}

// NewPaces returns an empty table.
func NewPaces() *Paces { return &Paces{byID: map[string]engineSample{}} }

// Record adds what an engine made in an interval: events of all of its items,
// and the time that each of these items ran in it, added up.
func (p *Paces) Record(now time.Time, engine string, events int, ran time.Duration) {
	if events == 0 || ran <= 0 {
		return
	}
	per := ran.Seconds() / float64(events)
	s, ok := p.byID[engine]
	if !ok || now.Sub(s.at) > paceMemory {
		s.perEvent = per
	}
	s.perEvent += paceWeight * (per - s.perEvent)
	s.at = now
	p.byID[engine] = s
}

// At returns what is known at a time, and forgets what is too old.
func (p *Paces) At(now time.Time) Pacing {
	maps.DeleteFunc(p.byID, func(_ string, s engineSample) bool { return now.Sub(s.at) > paceMemory })
	if len(p.byID) < minSamples {
		return Pacing{}
	}
	known := make([]float64, 0, len(p.byID))
	for _, s := range p.byID {
		known = append(known, s.perEvent)
	}
	slices.Sort(known)
	return Pacing{byID: p.byID, median: known[(len(known)-1)/2]}
}

// Pacing compares engines at one time. It is valid until the next Record.
type Pacing struct {
	byID   map[string]engineSample
	median float64 // seconds for an event; 0 when too little is known
}

// Slowness returns an engine's time per event beside the median of all; 1 when
// too little is known.
func (p Pacing) Slowness(engine string) float64 {
	s, ok := p.byID[engine]
	if !ok || p.median <= 0 {
		return 1
	}
	return s.perEvent / p.median
}
