package rollout

import (
	"maps"
	"slices"
	"time"
)

// Parameters of avoiding slow upstreams.
const (
	minMovesToAvoid = 3                // moves within avoidDuration that mark an upstream as slow
	avoidDuration   = 10 * time.Second // time for which a move counts
)

// slowUpstreams lists the upstreams from which recent samples of a step were moved away,
// so that new samples avoid them. It is a state machine without I/O.
type slowUpstreams struct {
	moves map[string][]time.Time // times of moves, by upstream
}

// recordMove records that a sample was moved away from an upstream.
func (s *slowUpstreams) recordMove(now time.Time, upstream string) {
	if s.moves == nil {
		s.moves = map[string][]time.Time{}
	}
	s.moves[upstream] = append(s.moves[upstream], now)
}

// list returns the upstreams to avoid now.
func (s *slowUpstreams) list(now time.Time) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(s.moves)) {
		s.moves[id] = slices.DeleteFunc(s.moves[id], func(t time.Time) bool { return now.Sub(t) > avoidDuration })
		if len(s.moves[id]) >= minMovesToAvoid {
			out = append(out, id)
		}
	}
	return out
}
