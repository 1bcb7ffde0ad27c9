package consensus

func (s *simCluster) crash(r *simReplica) { r.node, r.crashStage = nil, 0 }

// endFaultsAtRandom restarts r if it is down, and ends its other faults. Each of these
// happens with a fixed probability per call.
func (s *simCluster) endFaultsAtRandom(r *simReplica) {
	chance := func(k int) bool { return s.rnd.IntN(k) == 0 }
	if r.node == nil && chance(6) {
		s.restart(r)
	}
	r.frozen = r.frozen && !chance(20)
	r.dropsIncoming = r.dropsIncoming && !chance(30)
	r.dropsOutgoing = r.dropsOutgoing && !chance(30)
	if chance(60) {
		for _, id := range s.order {
			delete(s.cutLinks, [2]ID{r.id, id})
		}
	}
}

// endAllFaults ends all faults and restarts all crashed replicas.
func (s *simCluster) endAllFaults() {
	s.messageLoss, s.maxMessageDelay = 0, 2
	clear(s.cutLinks)
	for _, id := range s.order {
		r := s.replicas[id]
		r.frozen, r.dropsIncoming, r.dropsOutgoing, r.crashStage = false, false, false, 0
		s.restart(r)
	}
}

// delayStarts crashes the initial replicas that the low bits of seed select, so that they
// start later than the others. This simulates a cluster whose machines don't boot at the
// same time.
func (s *simCluster) delayStarts(seed uint64) {
	for i, id := range s.order {
		if seed>>i&1 == 1 {
			s.crash(s.replicas[id])
		}
	}
}
