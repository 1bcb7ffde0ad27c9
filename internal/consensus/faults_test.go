package consensus

func (s *schedule) crash(r *replica) { r.node, r.crashAt = nil, 0 }

func (s *schedule) recover(r *replica) {
	chance := func(k int) bool { return s.rnd.IntN(k) == 0 }
	if r.node == nil && chance(6) {
		s.restart(r)
	}
	r.frozen = r.frozen && !chance(20)
	r.deaf = r.deaf && !chance(30)
	r.mute = r.mute && !chance(30)
	if chance(60) {
		for _, id := range s.order {
			delete(s.cut, [2]ID{r.id, id})
		}
	}
}

// heal ends all faults.
func (s *schedule) heal() {
	s.loss, s.delay = 0, 2
	clear(s.cut)
	for _, id := range s.order {
		r := s.replicas[id]
		r.frozen, r.deaf, r.mute, r.crashAt = false, false, false, 0
		s.restart(r)
	}
}

// formLate lets some founders start later than the others, as when a group forms
// from machines that do not boot at the same time.
func (s *schedule) formLate(seed uint64) {
	for i, id := range s.order {
		if seed>>i&1 == 1 {
			s.crash(s.replicas[id])
		}
	}
}
