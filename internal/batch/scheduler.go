package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/upstream"
)

// Parameters of the choice of an engine.
const (
	// promptReuseBonus is subtracted from the cost of an engine if it was the last to get
	// an item with the prompt and so probably has it cached. The cost is the share of its
	// slots in use, including that for the new item, times its slowness, which counts as
	// at least 1. Processing a shared prompt again takes the time of a few tokens.
	promptReuseBonus = 0.15
	// failedAttemptCost is added to the cost of an engine for each attempt of the item that
	// failed there. It exceeds the cost of a full engine of median speed, so that an item is
	// tried at the other engines first and returns to none before all had it as often.
	failedAttemptCost = 2
	// maxSlownessRatio is the slowness above which the cost of an engine is raised by 1,
	// which is the cost of the last free slot of an engine of median speed. An engine of
	// median speed with a free slot is therefore preferred.
	maxSlownessRatio = 1.8
	// reclaimMargin is the time before an upstream is reclaimed in which it gets no items.
	reclaimMargin = 500 * time.Millisecond
)

// OpenJob is a batch job that has not ended.
type OpenJob struct {
	Batch   *state.Batch
	Listed  map[string]bool          // items that have a result
	Partial map[string]state.Partial // committed partial output, by item
}

// Engine is the scheduler's view of an upstream.
type Engine struct {
	Upstream   upstream.Announcement
	Slots      int
	Running    int               // items of this scheduler that run on the engine
	Versions   map[string]uint64 // loaded weight versions, by model
	Loading    bool              // loads weights and rejects new requests meanwhile
	BackingOff bool              // recently rejected a request or could not be reached
	Slowness   float64           // time per event divided by the median; 1 if unknown
	// SecondsPerEvent is the lasting pace; 0 if it is unknown, or if items are not to be relocated.
	SecondsPerEvent float64
	NamesRate       bool // names a rate or is cold, which bounds the items that may begin
	Turns           int  // items that may begin now, if NamesRate is set
}

// Assignment is the decision to run an item on an engine.
type Assignment struct {
	item      *item
	Engine    upstream.Announcement
	discarded int // events of the partial output that no engine could continue
}

// Scheduler decides which items run on which engines. It is a state machine without I/O;
// the caller passes the current time.
type Scheduler struct {
	jobs    map[string]*job
	prompts map[string]string // upstream that last got an item with the prompt, by prompt
}

// NewScheduler returns a scheduler without jobs.
func NewScheduler() *Scheduler {
	return &Scheduler{jobs: map[string]*job{}, prompts: map[string]string{}}
}

// Update adds the open jobs that the scheduler doesn't have and removes its jobs that
// are no longer open. It returns the unfinished items of the removed jobs.
func (s *Scheduler) Update(open []OpenJob) []*item {
	var dropped []*item
	openIDs := map[string]bool{}
	for _, o := range open {
		openIDs[o.Batch.ID] = true
		if s.jobs[o.Batch.ID] == nil {
			s.jobs[o.Batch.ID] = newJob(o)
		}
	}
	for id, j := range s.jobs {
		if !openIDs[id] {
			dropped = append(dropped, j.items...)
			delete(s.jobs, id)
		}
	}
	return dropped
}

// Schedule assigns items to the free slots of engines and marks these items as running.
// It counts them in the Running field of the engines passed in. An item whose partial output
// no engine can continue begins anew.
func (s *Scheduler) Schedule(now time.Time, engines []Engine) []Assignment {
	readyItems := s.readyItems(now)
	var out []Assignment
	for _, it := range readyItems {
		e := it.keptSlot(now, engines)
		if e == nil {
			e = s.pickEngine(now, it, engines)
		}
		events := len(it.events)
		if e == nil {
			e = s.beginAnew(now, it, engines)
		}
		if e == nil {
			continue
		}
		it.originFullSince = time.Time{}
		e.Running++
		e.Turns--
		it.phase = phaseRunning
		it.startedAt = now
		s.prompts[it.spec.Prompt] = e.Upstream.ID
		out = append(out, Assignment{item: it, Engine: e.Upstream, discarded: events - len(it.events)})
	}
	return out
}

// beginAnew discards the partial output of an item if no engine can continue it, and returns
// the engine where the item begins anew. It returns nil if the item should wait, or if no
// engine can run it.
func (s *Scheduler) beginAnew(now time.Time, it *item, engines []Engine) *Engine {
	versionLost, originLost := it.versionLost(now, engines), it.originLost(now, engines)
	if !versionLost && !originLost {
		return nil
	}
	begun := *it
	begun.reset()
	e := s.pickEngine(now, &begun, engines)
	if e == nil || !versionLost && it.origin.Allows(e.Upstream) {
		return nil
	}
	it.reset()
	return e
}

// readyItems returns the waiting items whose retry delay has passed. It sorts them by the
// deadline of their job, then by the number of unfinished items of their group, then by
// estimated length, longest first.
func (s *Scheduler) readyItems(now time.Time) []*item {
	var out []*item
	for _, j := range s.jobs {
		for _, it := range j.items {
			if it.phase == phaseWaiting && !now.Before(it.notBefore) {
				out = append(out, it)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *item) int {
		return cmp.Or(
			a.job.deadline().Compare(b.job.deadline()),
			cmp.Compare(a.job.unfinishedItems[a.spec.Group], b.job.unfinishedItems[b.spec.Group]),
			cmp.Compare(b.estimatedTokens(), a.estimatedTokens()),
			cmp.Compare(a.spec.ID, b.spec.ID),
		)
	})
	return out
}

// pickEngine returns the engine with the lowest cost for an item. It returns nil if no
// engine can run the item now.
func (s *Scheduler) pickEngine(now time.Time, it *item, engines []Engine) *Engine {
	var best *Engine
	var bestCost float64
	for i := range engines {
		e := &engines[i]
		if !e.canRun(now, it) {
			continue
		}
		cost := float64(e.Running+1) / float64(e.Slots) * max(e.Slowness, 1)
		if s.prompts[it.spec.Prompt] == e.Upstream.ID {
			cost -= promptReuseBonus
		}
		if e.Slowness > maxSlownessRatio {
			cost += 1
		}
		cost += failedAttemptCost * float64(it.failedAt[e.Upstream.ID])
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// canRun reports whether the engine can run the item now.
func (e *Engine) canRun(now time.Time, it *item) bool {
	b := it.job.batch
	if !it.mayContinueAt(e.Upstream) || !b.Homes.Allows(e.Upstream.Region) {
		return false
	}
	if e.Upstream.Service != b.Service || e.Loading || e.BackingOff || e.Running >= e.Slots || e.NamesRate && e.Turns <= 0 {
		return false
	}
	if v, ok := e.Versions[it.spec.Model]; ok && v < b.MinVersion {
		return false
	}
	if b.SingleVersion && len(it.versions) > 0 && e.Versions[it.spec.Model] != it.versions[0] {
		return false
	}
	return !e.reclaimedSoon(now)
}

// reclaimedSoon reports whether the upstream is reclaimed within reclaimMargin.
func (e *Engine) reclaimedSoon(now time.Time) bool {
	at := e.Upstream.ReclaimAt
	return at != 0 && now.Add(reclaimMargin).UnixMilli() >= at
}

// Expired returns the unfinished items whose TTL, including abortMargin, has passed.
func (s *Scheduler) Expired(now time.Time) []*item {
	var out []*item
	for _, j := range s.jobs {
		if now.Before(j.expiresAt()) {
			continue
		}
		for _, it := range j.items {
			if it.phase != phaseFinished {
				out = append(out, it)
			}
		}
	}
	return out
}

// Finish marks an item as finished and removes it from its job.
func (s *Scheduler) Finish(it *item) {
	if it.phase == phaseFinished {
		return
	}
	it.phase = phaseFinished
	it.job.unfinishedItems[it.spec.Group]--
	it.job.items = slices.DeleteFunc(it.job.items, func(x *item) bool { return x == it })
}

// CountWaiting returns the number of items in phaseWaiting.
func (s *Scheduler) CountWaiting() int {
	n := 0
	for _, j := range s.jobs {
		for _, it := range j.items {
			if it.phase == phaseWaiting {
				n++
			}
		}
	}
	return n
}
