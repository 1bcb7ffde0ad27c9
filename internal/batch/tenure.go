package batch

import "time"

// lapseGrace is how long runs go on after the lease has ended without another term:
// a leader short of processor time is late to renew it. Another leader needs
// the rest of the election timeout, an election and a look at the open jobs first,
// about as long.
const lapseGrace = 500 * time.Millisecond

// holds reports whether the session may keep its runs. It may start some only while
// leads does.
func (s *session) holds() bool {
	l := s.replica.Leadership()
	switch {
	case l.Term == s.term:
		s.held = l
	case l.Term != 0:
		return false
	}
	return !s.held.ExpiredFor(lapseGrace)
}

// leads reports whether the replica leads in the term of the session.
func (s *session) leads() bool {
	return s.replica.Leadership().ValidInTerm(s.term)
}
