package batch

import (
	"time"

	"github.com/apricotstream/apricotstream/internal/result"
)

// learn records the pace of the engines since the last look.
func (s *session) learn(now time.Time) {
	type sum struct {
		events int
		ran    time.Duration
	}
	sums := map[string]sum{}
	for _, a := range s.attempts {
		events, ran := a.progress(now)
		if s.pool.Loading(a.engine.ID) {
			continue // it pauses for the load
		}
		x := sums[a.engine.ID]
		sums[a.engine.ID] = sum{x.events + events, x.ran + ran}
	}
	for id, x := range sums {
		s.paces.Record(now, id, x.events, x.ran)
	}
}

// save commits the text of long items, so that the next leader goes on from it.
func (s *session) save() {
	for it, a := range s.attempts {
		if p := it.unsaved(a.sofar()); p != nil {
			s.commit.add(entry{progress: p})
		}
	}
}

// move stops items on slow or leaving engines, so that they go on elsewhere
// from their last event, as far as other engines have free slots.
func (s *session) move(now time.Time) {
	view := s.view(now)
	free := 0
	slow := map[string]bool{}
	leaving := map[string]bool{}
	for _, e := range view {
		switch {
		case e.leaving(now):
			leaving[e.Upstream.ID] = true
		case e.Slowness > moveSlowness:
			slow[e.Upstream.ID] = true
		case !e.Loading && !e.Avoid:
			free += max(0, e.Slots-e.Running)
		}
	}
	for _, a := range s.attempts {
		if !leaving[a.engine.ID] && (!slow[a.engine.ID] || free == 0 || now.Sub(a.began) < paceInterval) {
			continue
		}
		free--
		itemMoves.Inc()
		a.cancel(result.New(result.SampleMoved, "engine %s is slow or leaving", a.engine.ID))
	}
}
