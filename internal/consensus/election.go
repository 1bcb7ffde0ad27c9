package consensus

// preVoteHeartbeats is the time in heartbeats left to a candidate that got a
// pre-vote.
const preVoteHeartbeats = 2

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	if n.role == Leader {
		// What was done under the lease may still be under way: no vote until
		// it has ended.
		n.heardLeader = n.now
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.votes = nil
	n.resetElection()
}

// campaign starts with a pre-vote, so that a replica that was cut off does not
// raise the term of a working group.
func (n *Node) campaign() {
	n.role = PreCandidate
	n.leader = ""
	n.votes = map[ID]bool{n.id: true}
	n.resetElection()
	if n.wonVotes() {
		n.becomeCandidate()
		return
	}
	n.requestVotes(MsgPreVote, n.term+1)
}

func (n *Node) becomeCandidate() {
	n.role = Candidate
	n.term++
	n.vote = n.id
	n.votes = map[ID]bool{n.id: true}
	n.resetElection()
	if n.wonVotes() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, id := range n.members.IDs() {
		if id == n.id || !n.members.IsVoter(id) {
			continue
		}
		n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

func (n *Node) wonVotes() bool {
	granted := 0
	for id, ok := range n.votes {
		if ok && n.members.IsVoter(id) {
			granted++
		}
	}
	return granted >= n.members.Quorum()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.ledSince = n.now
	n.votes = nil
	n.progress = make(map[ID]*progress, len(n.members))
	for id := range n.members {
		// No heartbeat of this term was answered yet: the lease starts empty.
		n.progress[id] = &progress{next: n.log.last() + 1, acked: n.now - n.cfg.Election}
	}
	if n.progress[n.id] == nil {
		n.progress[n.id] = &progress{}
	}
	n.progress[n.id].match = n.log.stable
	n.appendOwn(EntryNoop, nil)
}

// leaseMayHold reports whether the lease of some leader may depend on this replica.
func (n *Node) leaseMayHold() bool {
	return n.now < n.heardLeader+n.cfg.Election
}

// stepVoteRequest answers even when this replica is not a voter in its own log:
// the entry that made it one may not have reached it, and the candidate may need
// its vote.
func (n *Node) stepVoteRequest(m Message) {
	reply := MsgVoteReply
	if m.Kind == MsgPreVote {
		reply = MsgPreVoteReply
	}
	if n.leaseMayHold() || n.role == Leader {
		n.send(Message{Kind: reply, To: m.From, Term: n.term, Reject: true})
		return
	}
	if m.Kind == MsgVote && m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	free := n.vote == "" || n.vote == m.From || m.Kind == MsgPreVote
	if m.Term < n.term || !free || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: reply, To: m.From, Term: n.term, Reject: true})
		return
	}
	if m.Kind == MsgVote {
		n.vote = m.From
		n.resetElection()
	} else if !n.yield(m) {
		n.send(Message{Kind: reply, To: m.From, Term: n.term, Reject: true})
		return
	}
	n.send(Message{Kind: reply, To: m.From, Term: m.Term})
}

// yield decides between two replicas that ask for pre-votes at the same time,
// which would split the votes: of equal logs the smaller identity goes on. Who
// has granted a pre-vote waits for its outcome before it asks itself.
func (n *Node) yield(m Message) bool {
	equal := m.Index == n.log.last() && m.LogTerm == n.log.lastTerm()
	if n.role == PreCandidate && equal && n.id < m.From {
		return false
	}
	n.electAt = max(n.electAt, n.now+preVoteHeartbeats*n.cfg.Heartbeat)
	return true
}

func (n *Node) stepPreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.becomeCandidate()
	}
}

func (n *Node) stepVoteReply(m Message) {
	if n.role != Candidate || m.Reject || m.Term != n.term {
		return
	}
	n.votes[m.From] = true
	if n.wonVotes() {
		n.becomeLeader()
	}
}
