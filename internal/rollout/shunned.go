package rollout

import (
	"maps"
	"slices"
	"time"
)

// Bounds of avoiding slow upstreams.
const (
	shunMoves = 3 // recent moves that mark an upstream as slow
	shunFor   = 10 * time.Second
)

// shunned lists the upstreams that a step's samples were moved away from; new
// samples avoid them for a while. It is a plain state machine.
type shunned struct {
	moves map[string][]time.Time // by upstream
}

// moved records that a sample was moved away from an upstream.
func (s *shunned) moved(now time.Time, upstream string) {
	if s.moves == nil {
		s.moves = map[string][]time.Time{}
	}
	s.moves[upstream] = append(s.moves[upstream], now)
}

// list returns the upstreams to avoid now.
func (s *shunned) list(now time.Time) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(s.moves)) {
		s.moves[id] = slices.DeleteFunc(s.moves[id], func(t time.Time) bool { return now.Sub(t) > shunFor })
		if len(s.moves[id]) >= shunMoves {
			out = append(out, id)
		}
	}
	return out
}
