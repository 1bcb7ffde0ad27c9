package consensus

// clockSampleHeartbeats is the number of heartbeat intervals within which the echo of this
// replica's clock must return for a sample of the leader's clock.
const clockSampleHeartbeats = 2

// clockSample is a reading of the leader's clock that is at most clockSampleHeartbeats heartbeat
// intervals old. It holds for one leader in one term, and thus for one run of its process.
type clockSample struct {
	leader     ID
	term       uint64
	sentAt     Time // on the leader's clock
	receivedAt Time // on the clock of this replica
}

// sampleLeaderClock samples the leader's clock if m echoes a recent reading of the clock here. It
// returns false otherwise.
func (n *Node) sampleLeaderClock(m Message) bool {
	if m.EchoClock == 0 || m.EchoIncarnation != n.incarnation || n.now >= m.EchoClock+clockSampleHeartbeats*n.cfg.HeartbeatInterval {
		return false
	}
	n.leaderClock = clockSample{m.From, m.Term, m.SentAt, n.now}
	return true
}

// waited returns for how long m, an append of the current leader, was on its way, or waited here
// while this replica did not run. It is the lower bound that the last sample of the leader's clock
// gives, 0 without one.
func (n *Node) waited(m Message) Time {
	s := n.leaderClock
	if s.leader != m.From || s.term != m.Term {
		return 0
	}
	return max(0, (n.now-s.receivedAt)-(m.SentAt-s.sentAt))
}

// isStale reports whether m is an append that was sent at least an election timeout ago. Its reply
// could neither extend a lease nor show that this replica is active.
func (n *Node) isStale(m Message) bool {
	return m.Kind == MsgAppend && n.waited(m) >= n.cfg.ElectionTimeout
}
