package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Parameters of relocating items to faster engines.
const (
	// relocationCost is what a relocation delays an item: its request ends, and the next engine
	// opens a connection and reads the prompt.
	relocationCost = 200 * time.Millisecond
	// minGainShare is the smallest part of an item's remaining time that must be saved, and minGain
	// the smallest time.
	minGainShare = 0.35
	minGain      = 400 * time.Millisecond
	// dueShare is the part of the time until a job's results are due that an item may take before
	// it is relocated. Items that end sooner are left where they are, also on slow engines.
	dueShare = 0.5
	// minRelocationAge is how long an attempt must have run, so that an engine's speed shows.
	minRelocationAge = 400 * time.Millisecond
	// relocationTimeout is how long a slot is kept for an item on its way.
	relocationTimeout = time.Second
)

// RunningItem is an item that an engine generates.
type RunningItem struct {
	item      *item
	Engine    upstream.Announcement
	StartedAt time.Time
	Events    int // of the whole text so far
}

// Relocation is the decision to go on with an item on another engine.
type Relocation struct {
	item *item
	From string
	To   string
	Gain time.Duration // expected
}

// planRelocations returns the items that should go on at a faster engine, and counts them in the
// Running field of these engines. It answers two patterns of load. Engines differ in speed for good,
// and the few long items that a group waits for run on the slow ones while the fast ones take new
// short items. And an engine turns slow, so that all its items do, but only the long ones will be
// late.
//
// An item is relocated if it would probably take too much of the time until its job is due, and the
// other engine saves a good part of what is left. The slot that it leaves goes to a waiting item.
func planRelocations(now time.Time, running []RunningItem, engines []Engine, lengths *LengthTracker) []Relocation {
	type candidate struct {
		RunningItem
		left time.Duration // on its engine
		rest float64       // events
		pace float64       // seconds for each event on its engine
	}
	pace := map[string]float64{}
	for _, e := range engines {
		pace[e.Upstream.ID] = e.SecondsPerEvent
	}
	var candidates []candidate
	for _, r := range running {
		p := pace[r.Engine.ID]
		if p <= 0 || now.Sub(r.StartedAt) < minRelocationAge {
			continue
		}
		rest := lengths.Remaining(r.item.spec.Model, r.Events)
		left := seconds(rest * p)
		b := r.item.job.batch
		if now.Add(left).Sub(b.Accepted) > time.Duration(dueShare*float64(b.RunDeadline)) {
			candidates = append(candidates, candidate{r, left, rest, p})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.item.spec.ID, b.item.spec.ID))
	})
	var out []Relocation
	for _, c := range candidates {
		var best *Engine
		for i := range engines {
			e := &engines[i]
			if e.SecondsPerEvent > 0 && e.Upstream.ID != c.Engine.ID && e.canRun(now, c.item) && (best == nil || e.SecondsPerEvent < best.SecondsPerEvent) {
				best = e
			}
		}
		if best == nil {
			continue
		}
		gain := c.left - seconds(c.rest*best.SecondsPerEvent) - relocationCost
		if gain < max(minGain, time.Duration(minGainShare*float64(c.left))) {
			continue
		}
		best.Running++
		out = append(out, Relocation{item: c.item, From: c.Engine.ID, To: best.Upstream.ID, Gain: gain})
	}
	return out
}

// keptSlot returns the engine that keeps a slot for a relocated item, nil if there is none or it can
// no longer run the item. The slot is no longer counted in its Running field.
func (it *item) keptSlot(now time.Time, engines []Engine) *Engine {
	id := it.relocatedTo
	if id == "" {
		return nil
	}
	it.relocatedTo = ""
	for i := range engines {
		if e := &engines[i]; e.Upstream.ID == id {
			e.Running--
			if e.canRun(now, it) {
				return e
			}
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
