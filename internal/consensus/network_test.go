package consensus

// simMessage is a message in flight.
type simMessage struct {
	deliverAt float64 // real time
	message   Message
}

// deliver passes f to its receiver. It drops f if the receiver is down or drops incoming
// messages, and delays f by one unit if the receiver is frozen. A process that waits at the
// address of a lost disk answers in the place of its receiver.
func (s *simCluster) deliver(f simMessage) {
	r := s.replicas[f.message.To]
	switch {
	case r != nil && r.waitingRun != 0 && !r.dropsIncoming:
		if reply, ok := AbsentReply(r.waitingRun, f.message); ok {
			s.send(r, []Message{reply})
		}
	case r == nil || r.node == nil || r.dropsIncoming:
	case r.frozen:
		s.inFlight = append(s.inFlight, simMessage{deliverAt: s.realTime + 1, message: f.message})
	default:
		r.node.Step(r.clock(s.realTime), f.message)
		s.processReady(r)
	}
}

// send puts messages in flight. It loses, duplicates and delays them at random.
func (s *simCluster) send(r *simReplica, messages []Message) {
	for _, message := range messages {
		if message.Kind == MsgSnapshot {
			snap := r.disk.snapshot
			message.Snapshot = &snap
		}
		if r.dropsOutgoing || s.cutLinks[[2]ID{message.From, message.To}] || s.rnd.Float64() < s.messageLoss {
			continue
		}
		copies := 1
		if s.rnd.Float64() < s.messageLoss/2 {
			copies = 2
		}
		for range copies {
			s.inFlight = append(s.inFlight, simMessage{deliverAt: s.realTime + float64(s.rnd.IntN(s.maxMessageDelay)), message: message})
		}
	}
}
