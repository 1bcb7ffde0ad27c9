package batch

import "time"

// leaseLapseGrace is how long attempts continue after the leader lease has expired without
// a newer term. A leader that lacks CPU time renews its lease late. Another leader starts
// attempts only after the rest of the election timeout, an election and reading the open
// jobs, which together take about as long as this grace.
const leaseLapseGrace = 500 * time.Millisecond

// mayContinue reports whether the session may continue its attempts. It may start new ones
// only while isLeader is true.
func (s *session) mayContinue() bool {
	l := s.replica.Leadership()
	switch {
	case l.Term == s.term:
		s.lastLease = l
	case l.Term != 0:
		return false
	}
	return !s.lastLease.ExpiredFor(leaseLapseGrace)
}

// isLeader reports whether the replica holds the leader lease in the term of the session.
func (s *session) isLeader() bool {
	return s.replica.Leadership().ValidInTerm(s.term)
}
