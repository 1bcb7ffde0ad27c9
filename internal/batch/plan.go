package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Weights of the choice of an engine.
const (
	// promptBonus is the part of the slots that the reuse of a cached prompt is
	// worth: reading a shared prompt again takes a few token steps.
	promptBonus = 0.15
	// maxSlowness is how much slower than the median an engine may be and still
	// get new items while others have free slots.
	maxSlowness = 1.8
	// leaveMargin is how long before an upstream is taken away it gets no items.
	leaveMargin = 500 * time.Millisecond
)

// OpenJob is a batch job to run, with the items that have a result and the text
// that is known of others.
type OpenJob struct {
	Batch   *state.Batch
	Listed  map[string]bool
	Partial map[string]state.Partial // known beginnings of texts, by item
}

// Engine is the plan's view of an upstream.
type Engine struct {
	Upstream upstream.Announcement
	Slots    int
	Running  int               // items of this plan that run there
	Versions map[string]uint64 // loaded weights by model
	Loading  bool              // refuses new requests while it loads weights
	Avoid    bool              // could not be reached, or refused, lately
	Slowness float64           // time per event beside the median; 1: nothing known
}

// Start is the decision to run an item on an engine.
type Start struct {
	item   *item
	Engine upstream.Announcement
}

// Plan decides which items run where. It is a plain state machine; the caller
// provides time.
type Plan struct {
	jobs    map[string]*job
	prompts map[string]string // engine that last read a prompt, by prompt
}

// NewPlan returns a plan without jobs.
func NewPlan() *Plan {
	return &Plan{jobs: map[string]*job{}, prompts: map[string]string{}}
}

// Update takes the open jobs over. It returns the items of jobs that have ended.
func (p *Plan) Update(open []OpenJob) []*item {
	var dropped []*item
	now := map[string]bool{}
	for _, o := range open {
		now[o.Batch.ID] = true
		if p.jobs[o.Batch.ID] == nil {
			p.jobs[o.Batch.ID] = newJob(o)
		}
	}
	for id, j := range p.jobs {
		if !now[id] {
			dropped = append(dropped, j.items...)
			delete(p.jobs, id)
		}
	}
	return dropped
}

// Next decides what starts now.
func (p *Plan) Next(now time.Time, engines []Engine) []Start {
	queue := p.queue(now)
	var out []Start
	for _, it := range queue {
		e := p.engine(now, it, engines)
		if e == nil {
			continue
		}
		e.Running++
		it.phase = running
		it.began = now
		p.prompts[it.spec.Prompt] = e.Upstream.ID
		out = append(out, Start{item: it, Engine: e.Upstream})
	}
	return out
}

// queue orders the waiting items: jobs by their due time, then groups that need
// the fewest items, then the longest estimate.
func (p *Plan) queue(now time.Time) []*item {
	var out []*item
	for _, j := range p.jobs {
		for _, it := range j.items {
			if it.phase == waiting && !now.Before(it.after) {
				out = append(out, it)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *item) int {
		return cmp.Or(
			a.job.due().Compare(b.job.due()),
			cmp.Compare(a.job.left[a.spec.Group], b.job.left[b.spec.Group]),
			cmp.Compare(b.hint(), a.hint()),
			cmp.Compare(a.spec.ID, b.spec.ID),
		)
	})
	return out
}

// engine chooses for an item; nil when none may run it now.
func (p *Plan) engine(now time.Time, it *item, engines []Engine) *Engine {
	var best *Engine
	var bestCost float64
	for i := range engines {
		e := &engines[i]
		if !e.fits(now, it) {
			continue
		}
		cost := float64(e.Running+1) / float64(e.Slots) * max(e.Slowness, 1)
		if p.prompts[it.spec.Prompt] == e.Upstream.ID {
			cost -= promptBonus
		}
		if e.Slowness > maxSlowness {
			cost += 1
		}
		if e.Upstream.ID == it.notTo {
			cost += 2
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// fits reports whether the engine may run the item.
func (e *Engine) fits(now time.Time, it *item) bool {
	b := it.job.batch
	if e.Upstream.Service != b.Service || e.Loading || e.Avoid || e.Running >= e.Slots {
		return false
	}
	if v, ok := e.Versions[it.spec.Model]; ok && v < b.MinVersion {
		return false
	}
	if b.SingleVersion && len(it.versions) > 0 && e.Versions[it.spec.Model] != it.versions[0] {
		return false
	}
	return !e.leaving(now)
}

// leaving reports whether the engine is taken away soon.
func (e *Engine) leaving(now time.Time) bool {
	at := e.Upstream.ReclaimAt
	return at != 0 && now.Add(leaveMargin).UnixMilli() >= at
}

// Expired removes the items whose lifetime has passed and returns them.
func (p *Plan) Expired(now time.Time) []*item {
	var out []*item
	for _, j := range p.jobs {
		if now.Before(j.expires()) {
			continue
		}
		for _, it := range j.items {
			if it.phase != finished {
				out = append(out, it)
			}
		}
	}
	return out
}

// Finish takes an item out whose result is final.
func (p *Plan) Finish(it *item) {
	if it.phase == finished {
		return
	}
	it.phase = finished
	it.job.left[it.spec.Group]--
	it.job.items = slices.DeleteFunc(it.job.items, func(x *item) bool { return x == it })
}

// Waiting counts the items that no engine runs.
func (p *Plan) Waiting() int {
	n := 0
	for _, j := range p.jobs {
		for _, it := range j.items {
			if it.phase == waiting {
				n++
			}
		}
	}
	return n
}
