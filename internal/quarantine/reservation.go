package quarantine

import "time"

// Reservation keeps an upstream free of other requests while a suspect request runs there.
type Reservation struct {
	Upstream string `json:"upstream"`
	Owner    string `json:"owner"` // unique to the attempt
}

// reservations holds the reserved upstreams. When two owners have reserved the same upstream
// at the same time, the one with the smaller name keeps it. It is a pure state machine.
type reservations struct {
	byUpstream map[string]reservationState
}

type reservationState struct {
	owner string
	until time.Time
}

// holder returns the owner of the reservation of an upstream, or "" if there is none.
func (s *reservations) holder(now time.Time, upstream string) string {
	x, ok := s.byUpstream[upstream]
	if !ok || now.After(x.until) {
		return ""
	}
	return x.owner
}

// merge adds a reservation of another daemon and reports whether its owner has the upstream.
func (s *reservations) merge(now time.Time, r Reservation) bool {
	if holder := s.holder(now, r.Upstream); holder != "" && holder < r.Owner {
		return false
	}
	s.byUpstream[r.Upstream] = reservationState{owner: r.Owner, until: now.Add(reservationTTL)}
	return true
}

// free ends a reservation if its owner still has the upstream.
func (s *reservations) free(r Reservation) {
	if s.byUpstream[r.Upstream].owner == r.Owner {
		delete(s.byUpstream, r.Upstream)
	}
}

// list returns the reserved upstreams and removes what has expired.
func (s *reservations) list(now time.Time) []string {
	var out []string
	for u, x := range s.byUpstream {
		if now.After(x.until) {
			delete(s.byUpstream, u)
			continue
		}
		out = append(out, u)
	}
	return out
}
