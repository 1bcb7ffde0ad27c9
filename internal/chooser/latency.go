package chooser

import (
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Learning of how slow an upstream is.
const (
	// paceWeight is the weight of the newest answer in the moving average.
	paceWeight = 0.3
	// paceMemory is the age from which a measured pace says nothing: a slow
	// upstream is tried again, as it may have recovered.
	paceMemory = 4 * time.Second
)

// paces learns the time that answers take by upstream.
type paces struct {
	byID map[string]pace
}

type pace struct {
	incarnation int64
	mean        float64 // seconds
	at          time.Time
}

func (p *paces) record(now time.Time, u upstream.Announcement, took time.Duration) {
	if p.byID == nil {
		p.byID = map[string]pace{}
	}
	x, ok := p.byID[u.ID]
	if !ok || x.incarnation != u.Incarnation || now.Sub(x.at) > paceMemory {
		x = pace{incarnation: u.Incarnation, mean: took.Seconds()}
	}
	x.mean += paceWeight * (took.Seconds() - x.mean)
	x.at = now
	p.byID[u.ID] = x
}

// slowness rates each upstream of the list by its pace beside the list's
// median; 1 where nothing recent is known.
func (p *paces) slowness(now time.Time, list []upstream.Announcement) []float64 {
	out := make([]float64, len(list))
	var known []float64
	for _, u := range list {
		if x, ok := p.recent(now, u); ok {
			known = append(known, x.mean)
		}
	}
	slices.Sort(known)
	for i, u := range list {
		out[i] = 1
		if x, ok := p.recent(now, u); ok && len(known) > 1 {
			if median := known[(len(known)-1)/2]; median > 0 {
				out[i] = x.mean / median
			}
		}
	}
	return out
}

func (p *paces) recent(now time.Time, u upstream.Announcement) (pace, bool) {
	x, ok := p.byID[u.ID]
	return x, ok && x.incarnation == u.Incarnation && now.Sub(x.at) <= paceMemory
}
