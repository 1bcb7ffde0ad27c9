package consensus

// OlderLogRefusals describes the requests for votes and pre-votes that this replica has refused,
// since its Node was created, because its own log is newer. While that replica can be reached by
// a quorum, only it or one with as new a log can become the leader.
type OlderLogRefusals struct {
	Count          int
	From           ID     // sender of the last one
	PreVote        bool   // whether the last one asked for a pre-vote
	Index, LogTerm uint64 // last log entry of that sender
}

// StaleHeartbeats describes the heartbeats that this replica has received since its Node was
// created although their echo of its own clock was at least an election timeout old: they waited
// while this replica did not run, and do not show that the leader still does.
type StaleHeartbeats struct {
	Count int
	From  ID   // sender of the last one
	Age   Time // age of the echo in the last one
}

func (n *Node) recordOlderLogRefusal(m Message) {
	n.olderLogRefusals = OlderLogRefusals{n.olderLogRefusals.Count + 1, m.From, m.Kind == MsgPreVote, m.Index, m.LogTerm}
}

// isStale reports whether m, an append of the current leader, was sent in answer to a message
// that this replica sent at least an election timeout ago. An append without an echo is not: it
// may be the first one of its leader. Neither is one to a replica that can't be elected.
func (n *Node) isStale(m Message) bool {
	return m.EchoClock > 0 && m.EchoIncarnation == n.incarnation && n.now >= m.EchoClock+n.cfg.ElectionTimeout && n.canCampaign()
}

func (n *Node) recordStaleHeartbeat(m Message) {
	n.staleHeartbeats = StaleHeartbeats{n.staleHeartbeats.Count + 1, m.From, n.now - m.EchoClock}
}
