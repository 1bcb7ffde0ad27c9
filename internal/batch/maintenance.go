package batch

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/homes"
	"github.com/apricotstream/apricotstream/internal/origin"
	"github.com/apricotstream/apricotstream/internal/result"
)

// recordSpeeds measures the speed of the engines since the last call. It skips engines that
// are loading weights, because they pause generation meanwhile.
func (s *session) recordSpeeds(now time.Time) {
	type sum struct {
		events int
		ran    time.Duration
	}
	sums := map[string]sum{}
	for _, a := range s.attempts {
		events, ran := a.progress(now)
		if s.pool.Loading(a.engine.ID) {
			continue
		}
		x := sums[a.engine.ID]
		sums[a.engine.ID] = sum{x.events + events, x.ran + ran}
	}
	for id, x := range sums {
		s.speedTracker.Record(now, id, x.events, x.ran)
	}
}

// commitProgress queues the partial output of long items for the commit, so that the next
// leader can resume them.
func (s *session) commitProgress() {
	for it, a := range s.attempts {
		it.beginsAt(a.engine)
		if p := it.takeProgress(a.eventsSoFar()); p != nil {
			s.resultCommitter.add(pendingRecord{progress: p})
		}
	}
}

// moveAttempts cancels attempts on slow engines and on engines that are reclaimed soon.
// Their items resume from their last event on another engine. Attempts on slow engines are
// cancelled only while other engines that may continue the item have free slots.
func (s *session) moveAttempts(now time.Time) {
	engineStates := s.engineStates(now)
	type place struct { // the home regions of an item as text, and the origin of its text
		homes string
		from  origin.Origin
	}
	freeSlots := map[place]int{} // by home regions; that of no text: of all engines
	restrictions := s.restrictions()
	slow := map[string]bool{}
	reclaimedSoon := map[string]bool{}
	for _, e := range engineStates {
		switch {
		case e.reclaimedSoon(now):
			reclaimedSoon[e.Upstream.ID] = true
		case e.SecondsPerEvent == 0 && e.Slowness > moveSlownessRatio:
			slow[e.Upstream.ID] = true
		case !e.Loading && !e.BackingOff && !e.Upstream.Evacuated:
			free := max(0, e.Slots-e.Running)
			for text, h := range restrictions {
				if h.Allows(e.Upstream.Region) {
					freeSlots[place{text, origin.Of(e.Upstream)}] += free
					freeSlots[place{text, origin.Origin{}}] += free
				}
			}
		}
	}
	for _, a := range s.attempts {
		from := place{a.request.Homes.String(), a.origin()}
		if !reclaimedSoon[a.engine.ID] && (!slow[a.engine.ID] || freeSlots[from] <= 0 || now.Sub(a.startedAt) < maintenanceInterval) {
			continue
		}
		freeSlots[from]--
		itemMoves.Inc()
		a.cancel(result.New(result.SampleMoved, "engine %s is slow or about to be reclaimed", a.engine.ID))
	}
}

// restrictions returns the home regions of the items in flight by their text.
func (s *session) restrictions() map[string]*homes.Homes {
	out := map[string]*homes.Homes{}
	for _, a := range s.attempts {
		out[a.request.Homes.String()] = a.request.Homes
	}
	return out
}

// relocate cancels attempts whose items go on at faster engines, see planRelocations. These engines
// keep a slot for them, which it counts in engines.
func (s *session) relocate(now time.Time, engines []Engine) {
	kept := map[string]int{}
	for it := range s.relocating {
		if it.phase == phaseFinished || now.After(it.relocatedUntil) {
			it.relocatedTo = ""
		}
		if it.relocatedTo == "" {
			delete(s.relocating, it)
			continue
		}
		kept[it.relocatedTo]++
	}
	for i := range engines {
		engines[i].Running += kept[engines[i].Upstream.ID]
	}
	var running []RunningItem
	for it, a := range s.attempts {
		if it.phase == phaseRunning && !s.relocating[it] {
			running = append(running, RunningItem{item: it, Engine: a.engine, StartedAt: a.startedAt, Events: a.eventCount()})
		}
	}
	for _, r := range planRelocations(now, running, engines, s.lengthTracker) {
		r.item.relocatedTo, r.item.relocatedUntil = r.To, now.Add(relocationTimeout)
		s.relocating[r.item] = true
		itemMoves.Inc()
		a := s.attempts[r.item]
		s.log.Info("Item is relocated to a faster engine.", "item", r.item.spec.ID, "batch", r.item.job.batch.ID, "from", r.From, "to", r.To, "events", a.eventCount(), "gain_ms", r.Gain.Milliseconds())
		a.cancel(result.New(result.SampleMoved, "engine %s is slower than %s", r.From, r.To))
	}
}
