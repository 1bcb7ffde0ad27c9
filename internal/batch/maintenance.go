package batch

import (
	"time"

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
	freeSlots := map[origin.Origin]int{} // that of no text: of all engines
	slow := map[string]bool{}
	reclaimedSoon := map[string]bool{}
	for _, e := range engineStates {
		switch {
		case e.reclaimedSoon(now):
			reclaimedSoon[e.Upstream.ID] = true
		case e.Slowness > moveSlownessRatio:
			slow[e.Upstream.ID] = true
		case !e.Loading && !e.BackingOff && !e.Upstream.Evacuated:
			free := max(0, e.Slots-e.Running)
			freeSlots[origin.Of(e.Upstream)] += free
			freeSlots[origin.Origin{}] += free
		}
	}
	for _, a := range s.attempts {
		from := a.origin()
		if !reclaimedSoon[a.engine.ID] && (!slow[a.engine.ID] || freeSlots[from] <= 0 || now.Sub(a.startedAt) < maintenanceInterval) {
			continue
		}
		freeSlots[from]--
		itemMoves.Inc()
		a.cancel(result.New(result.SampleMoved, "engine %s is slow or about to be reclaimed", a.engine.ID))
	}
}
