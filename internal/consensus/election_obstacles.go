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
// created at least an election timeout after they were sent: they waited while this replica did not
// run, and do not show that the leader still does.
type StaleHeartbeats struct {
	Count int
	From  ID   // sender of the last one
	Age   Time // for how long the last one waited
}

func (n *Node) recordOlderLogRefusal(m Message) {
	n.olderLogRefusals = OlderLogRefusals{n.olderLogRefusals.Count + 1, m.From, m.Kind == MsgPreVote, m.Index, m.LogTerm}
}

func (n *Node) recordStaleHeartbeat(m Message) {
	n.staleHeartbeats = StaleHeartbeats{n.staleHeartbeats.Count + 1, m.From, n.waited(m)}
}
