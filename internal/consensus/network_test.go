package consensus

// flight is a message on its way.
type flight struct {
	at float64
	m  Message
}

func (s *schedule) deliver(f flight) {
	r := s.replicas[f.m.To]
	switch {
	case r == nil || r.node == nil || r.deaf:
	case r.frozen:
		s.net = append(s.net, flight{at: s.real + 1, m: f.m})
	default:
		r.node.Step(r.clock(s.real), f.m)
		s.work(r)
	}
}

func (s *schedule) send(r *replica, ms []Message) {
	for _, m := range ms {
		if m.Kind == MsgSnapshot {
			snap := r.disk.snapshot
			m.Snapshot = &snap
		}
		if r.mute || s.cut[[2]ID{m.From, m.To}] || s.rnd.Float64() < s.loss {
			continue
		}
		copies := 1
		if s.rnd.Float64() < s.loss/2 {
			copies = 2
		}
		for range copies {
			s.net = append(s.net, flight{at: s.real + float64(s.rnd.IntN(s.delay)), m: m})
		}
	}
}
