package consensus

import "time"

// preVoteWaitHeartbeats is how many heartbeat intervals a replica that granted a vote or
// pre-vote, or received a stale append, waits at least before it starts an election itself.
const preVoteWaitHeartbeats = 2

// becomeFollower doesn't restart the election timer, except that of a leader: neither a later
// term nor the end of this replica's own election shows that another one leads or may be elected.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	if n.role == Leader {
		// Operations started under the lease may still be in progress: grant no
		// vote until the lease has ended.
		n.lastLeaderContact = n.now
		n.resetElection()
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.votes, n.rejections = nil, nil
	n.restart.confirmed = nil
}

func (n *Node) resetElection() {
	jitter := time.Duration(n.rnd.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionAt = n.now + n.cfg.ElectionTimeout + jitter
}

// campaign starts an election. It begins with a pre-vote, so that a replica that was
// disconnected doesn't raise the term of a working cluster.
func (n *Node) campaign() {
	n.recordFailedElection()
	n.role = PreCandidate
	n.leader = ""
	n.restart.confirmed = nil
	n.resetElection()
	n.startPreVote()
}

// startPreVote asks all voters for their pre-votes in the term after the current one.
func (n *Node) startPreVote() {
	n.votes, n.rejections = map[ID]bool{n.id: true}, map[ID]bool{}
	n.preVoteAgainAt = n.now + n.cfg.HeartbeatInterval
	if n.hasVoteQuorum() {
		n.becomeCandidate()
		return
	}
	n.requestVotes(MsgPreVote, n.term+1)
}

// repeatPreVote asks the voters again that have not granted their pre-vote: they may have been
// unreachable, or have promised a leader to vote for nobody. The election in progress continues.
func (n *Node) repeatPreVote() {
	if n.role != PreCandidate || n.now < n.preVoteAgainAt {
		return
	}
	n.preVoteAgainAt = n.now + n.cfg.HeartbeatInterval
	n.requestVotes(MsgPreVote, n.term+1)
}

func (n *Node) becomeCandidate() {
	n.role = Candidate
	n.term++
	n.vote = n.id
	n.votes, n.rejections = map[ID]bool{n.id: true}, map[ID]bool{}
	n.resetElection()
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term)
}

// requestVotes asks the voters that have not granted their vote in the election in progress.
func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, id := range n.members.IDs() {
		if n.votes[id] || !n.members.IsVoter(id) {
			continue
		}
		n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
	}
}

func (n *Node) hasVoteQuorum() bool {
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
	n.restart.elected = n.restart.confirmed != nil
	n.restart.own, n.restart.confirmed = false, nil
	n.leaderSince, n.electedAfter = n.now, n.log.lastIndex()
	n.recentCommit, n.sampledCommit, n.nextCommitSample = n.commit, n.commit, n.now
	n.votes, n.rejections = nil, nil
	n.progress = make(map[ID]*progress, len(n.members))
	for id := range n.members {
		// No heartbeat of this term has been answered yet, so there is no lease.
		n.progress[id] = &progress{next: n.log.lastIndex() + 1, ackedSentAt: n.now - n.cfg.ElectionTimeout}
	}
	if n.progress[n.id] == nil {
		n.progress[n.id] = &progress{}
	}
	n.progress[n.id].match = n.log.stable
	n.appendAsLeader(EntryNoop, nil)
}

// leaderLeaseMayBeActive reports whether the lease of some leader may depend on this
// replica's last contact with it.
func (n *Node) leaderLeaseMayBeActive() bool {
	return n.now < n.lastLeaderContact+n.cfg.ElectionTimeout
}

// stepVoteRequest handles MsgPreVote and MsgVote. It may grant a vote even when this
// replica is not a voter in its own log: the entry that made it a voter may not have
// arrived here, and the candidate may need the vote.
func (n *Node) stepVoteRequest(m Message) {
	afterRestart := n.asksAfterRestart(m)
	if n.leaderLeaseMayBeActive() && !afterRestart || n.role == Leader {
		n.replyVote(m, n.term, true)
		return
	}
	electionAt := n.electionAt
	if m.Kind == MsgVote && m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	mayVote := n.vote == "" || n.vote == m.From || m.Kind == MsgPreVote
	if !n.log.upToDate(m.Index, m.LogTerm) {
		n.recordOlderLogRefusal(m)
		n.expediteElection()
		n.replyVote(m, n.term, true)
		return
	}
	if m.Term < n.term || !mayVote {
		n.replyVote(m, n.term, true)
		return
	}
	if m.Kind == MsgVote {
		n.vote = m.From
		n.yield()
		n.resetElection()
	} else if !n.grantPreVote(m) {
		n.replyVote(m, n.term, true)
		return
	}
	if afterRestart {
		// If the early election fails, the next one must not begin later than without it.
		n.electionAt = electionAt
		n.yield()
	}
	n.replyVote(m, m.Term, false)
}

func (n *Node) replyVote(m Message, term uint64, reject bool) {
	if m.Kind == MsgPreVote {
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Term: term, Reject: reject})
		return
	}
	r := Message{Kind: MsgVoteReply, To: m.From, Reject: reject}
	if m.Restarted {
		r.SentAt, r.Incarnation, r.EchoIncarnation, r.Restarted = m.SentAt, n.incarnation, m.Incarnation, n.restart.own
	}
	n.send(r)
}

// grantPreVote decides whether to grant the pre-vote that m asks for. Two replicas that
// ask for pre-votes at the same time would split the votes, so if their logs are equal
// the one with the smaller ID continues. A replica that grants a pre-vote starts no
// election itself for preVoteWaitHeartbeats heartbeat intervals, so that the sender can
// finish its election. It does so once for the repeated requests of an election: otherwise a
// sender that receives no replies would keep the others from an election.
func (n *Node) grantPreVote(m Message) bool {
	logsEqual := m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
	if n.role == PreCandidate && logsEqual && n.id < m.From {
		return false
	}
	if n.yieldedTo == m.From && n.now < n.yieldedAt+n.cfg.ElectionTimeout {
		return true
	}
	n.yieldedTo, n.yieldedAt = m.From, n.now
	n.yield()
	if n.role == PreCandidate {
		// Its own pre-vote begins anew afterwards. Two candidates would split the votes.
		n.votes, n.preVoteAgainAt = map[ID]bool{n.id: true}, n.yieldUntil
	}
	return true
}

// yield starts no election for preVoteWaitHeartbeats heartbeat intervals, in favor of a candidate
// or a leader that may succeed.
func (n *Node) yield() {
	n.yieldUntil = n.now + preVoteWaitHeartbeats*n.cfg.HeartbeatInterval
	n.electionAt = max(n.electionAt, n.yieldUntil)
}

// expediteElection starts the next election of this replica as soon as it may vote and doesn't
// yield. It is called when another replica can't be elected because the log here is newer.
func (n *Node) expediteElection() {
	if n.role == Follower && n.canCampaign() {
		n.electionAt = min(n.electionAt, max(n.now, n.lastLeaderContact+n.cfg.ElectionTimeout, n.yieldUntil))
	}
}

func (n *Node) stepPreVoteReply(m Message) {
	if m.Reject {
		switch {
		case m.Term > n.term && n.role == PreCandidate:
			n.term, n.vote = m.Term, ""
			n.startPreVote() // the request was for too early a term
		case m.Term > n.term:
			n.becomeFollower(m.Term, "")
		case n.role == PreCandidate:
			n.rejections[m.From] = true
		}
		return
	}
	if n.role != PreCandidate || m.Term != n.term+1 || n.now < n.yieldUntil {
		return
	}
	n.votes[m.From] = true
	delete(n.rejections, m.From)
	if n.hasVoteQuorum() {
		n.becomeCandidate()
	}
}

func (n *Node) stepVoteReply(m Message) {
	if n.role != Candidate || m.Term != n.term {
		return
	}
	n.confirmRestart(m)
	if m.Reject || m.Absent {
		n.rejections[m.From] = true
	} else {
		n.votes[m.From] = true
	}
	if n.hasWon() {
		n.becomeLeader()
	}
}
