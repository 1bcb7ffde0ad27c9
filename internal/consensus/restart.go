package consensus

import "slices"

// After a restart of all voters no lease is left, because a lease is only held in the
// memory of the process that leads. A voter that has just started therefore asks all
// voters whether they have restarted too (MsgRestarted). Once all have said so, the one
// with the newest log starts an election at once and asks each of them again with its
// MsgVote. If every voter answers twice in the same run of its process that it has heard no
// leader and has not led in that run, none led between the two questions, so no lease from
// before is left. A process that holds no replica at the address of a voter answers in its
// place that the voter is absent: the voter has lost its disk, and its process has ended. In
// all other cases the election timeout holds. docs/design/control.md has the whole argument.

// silentAsksPerHeartbeat is how often in a heartbeat interval a voter that has not answered is
// asked whether it has restarted. A process that waits to join does not ask by itself, so the
// question must reach it soon after its start.
const silentAsksPerHeartbeat = 8

// restartedAnswer is what a voter has answered to MsgRestarted.
type restartedAnswer struct {
	incarnation    uint32
	index, logTerm uint64 // its last log entry
	restarted      bool
	absent         bool // answered by a process that waits to join at the voter's address
}

// restart is what a replica knows about the restart of itself and of the voters.
type restart struct {
	// own is set while this process has heard no leader and has not led since its start.
	own       bool
	startedAt Time
	askAt     Time // when to ask the voters again
	askNextAt Time // when to ask those again that have not answered
	answers   map[ID]restartedAnswer

	// confirmed holds the voters that have answered the vote requests of the election in
	// progress in the run of their answer to MsgRestarted, still without a leader. It is nil
	// in an election that began after the election timeout.
	confirmed map[ID]bool
	votesAt   Time // when that election began
	elected   bool // this replica became the leader in such an election
	absent    []ID // the voters that this election has counted as absent
}

// AbsentReply returns the answer of a process that waits to join to a question or a vote
// request for the replica that has lost its disk at this address. run identifies the run of
// the process. The process must have seen that its data folder is empty, must hold no replica,
// and must not create the replica that it denies. AbsentReply returns false for other messages.
func AbsentReply(run uint32, m Message) (Message, bool) {
	r := Message{From: m.To, To: m.From, Incarnation: run, EchoIncarnation: m.Incarnation, Absent: true}
	switch {
	case m.Kind == MsgRestarted:
		r.Kind = MsgRestartedReply
	case m.Kind == MsgVote && m.Restarted:
		r.Kind, r.Term, r.SentAt, r.Reject = MsgVoteReply, m.Term, m.SentAt, true
	default:
		return Message{}, false
	}
	return r, m.To != "" && m.From != ""
}

// restartVoters returns the voters that must have restarted: those of the newest membership,
// and those of the one before while the newest isn't known to be committed. A leader that
// removes itself steps down at the commit and tells nobody of it. A replica that knows of the
// commit has heard it from a later leader, at whose election the lease was over.
func (n *Node) restartVoters() []ID {
	all := n.members.Clone()
	if n.changePending() {
		for id, m := range n.log.membersAt(n.log.lastChangeIndex() - 1) {
			if m.Voter {
				all[id] = m
			}
		}
	}
	var out []ID
	for _, id := range all.IDs() {
		if all.IsVoter(id) {
			out = append(out, id)
		}
	}
	return out
}

// mayElectEarly reports whether this replica may start an election before the election
// timeout has passed since its start. Later its vote needs no restart of all.
func (n *Node) mayElectEarly() bool {
	return n.restart.own && n.now < n.restart.startedAt+n.cfg.ElectionTimeout && n.canCampaign()
}

// tickRestart asks the voters whether they have restarted, and ends an early election that
// not all of them have confirmed in preVoteWaitHeartbeats heartbeat intervals.
func (n *Node) tickRestart() {
	if !n.mayElectEarly() {
		return
	}
	if n.role == Candidate && n.restart.confirmed != nil && n.now >= n.restart.votesAt+preVoteWaitHeartbeats*n.cfg.HeartbeatInterval {
		n.recordFailedElection()
		n.role, n.restart.confirmed = Follower, nil
	}
	all := n.now >= n.restart.askAt
	if n.role != Follower || !all && n.now < n.restart.askNextAt {
		return
	}
	if all {
		n.restart.askAt = n.now + n.cfg.HeartbeatInterval/2
	}
	n.restart.askNextAt = n.now + n.cfg.HeartbeatInterval/silentAsksPerHeartbeat
	for _, id := range n.restartVoters() {
		if _, answered := n.restart.answers[id]; id != n.id && (all || !answered) {
			n.send(Message{Kind: MsgRestarted, To: id, Incarnation: n.incarnation})
		}
	}
	n.electEarly()
}

// stepRestarted handles MsgRestarted. If the sender has started since this replica last heard
// from it, this replica asks again too, because the sender may have been the last to start.
func (n *Node) stepRestarted(m Message) {
	n.send(Message{
		Kind: MsgRestartedReply, To: m.From, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		Incarnation: n.incarnation, EchoIncarnation: m.Incarnation, Restarted: n.restart.own,
	})
	if a, ok := n.restart.answers[m.From]; !ok || a.incarnation != m.Incarnation {
		n.restart.askAt = n.now
	}
}

// stepRestartedReply handles MsgRestartedReply. It ignores replies to an earlier run of this
// process.
func (n *Node) stepRestartedReply(m Message) {
	if m.EchoIncarnation != n.incarnation || !n.mayElectEarly() || n.role != Follower {
		return
	}
	n.restart.answers[m.From] = restartedAnswer{m.Incarnation, m.Index, m.LogTerm, m.Restarted && !m.Absent, m.Absent}
	n.electEarly()
}

// electEarly starts an election if all voters have restarted and this replica has the newest
// log of them. Of voters with equal logs the one with the smallest ID starts it, so that the
// votes are not split. A voter whose removal isn't committed starts it only if no other has
// its log. Absent voters have no log and do not vote, so a quorum must remain without them.
func (n *Node) electEarly() {
	voters := n.restartVoters()
	if !n.quorumRemains() {
		return
	}
	for _, id := range voters {
		if id == n.id {
			continue
		}
		a := n.restart.answers[id]
		if a.absent && n.addressIsCertain(id) {
			continue
		}
		if !a.restarted {
			return
		}
		isNewer := n.log.upToDate(a.index, a.logTerm) // or equal
		isEqual := a.index == n.log.lastIndex() && a.logTerm == n.log.lastTerm()
		precedes := isEqual && n.members.IsVoter(n.id) && n.id < id
		if isNewer && n.members.IsVoter(id) && !precedes {
			return
		}
	}
	n.role, n.leader = Candidate, ""
	n.term++
	n.vote = n.id
	n.votes, n.rejections = map[ID]bool{n.id: true}, map[ID]bool{}
	n.restart.confirmed, n.restart.votesAt, n.restart.absent = map[ID]bool{n.id: true}, n.now, n.absentVoters(voters)
	if n.hasWon() {
		n.becomeLeader()
		return
	}
	for _, id := range voters {
		if id != n.id {
			n.send(Message{
				Kind: MsgVote, To: id, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), SentAt: n.now,
				Incarnation: n.incarnation, EchoIncarnation: n.restart.answers[id].incarnation, Restarted: true,
			})
		}
	}
}

// absentVoters returns those of the voters that have been answered for as absent.
func (n *Node) absentVoters(voters []ID) []ID {
	return slices.DeleteFunc(slices.Clone(voters), func(id ID) bool { return !n.restart.answers[id].absent })
}

// quorumRemains reports whether the voters that are not absent form a quorum.
func (n *Node) quorumRemains() bool {
	remaining := 0
	for id, m := range n.members {
		if m.Voter && !n.restart.answers[id].absent {
			remaining++
		}
	}
	return remaining >= n.members.Quorum()
}

// addressIsCertain reports whether voter id can only run at the address that was asked. While
// a change of its address isn't known to be committed, the voter may run at either address,
// and a process that waits at one of them says nothing about the other.
func (n *Node) addressIsCertain(id ID) bool {
	m, ok := n.members[id]
	if !ok || !n.changePending() {
		return ok
	}
	return n.log.membersAt(n.log.lastChangeIndex() - 1)[id].Address == m.Address
}

// asksAfterRestart reports whether m asks for a vote after a restart of all voters, and this
// run of the process is the one that has told the candidate that it has restarted.
func (n *Node) asksAfterRestart(m Message) bool {
	return m.Kind == MsgVote && m.Restarted && n.restart.own && m.EchoIncarnation == n.incarnation
}

// confirmRestart records the answer to a vote request of an early election. SentAt identifies
// the request, because a refusal may be of a later term than the request that it answers.
func (n *Node) confirmRestart(m Message) {
	a := n.restart.answers[m.From]
	if n.restart.confirmed != nil && (m.Restarted || m.Absent) && m.Absent == a.absent && m.SentAt == n.restart.votesAt &&
		m.EchoIncarnation == n.incarnation && m.Incarnation == a.incarnation {
		n.restart.confirmed[m.From] = true
	}
}

// hasWon reports whether the election in progress is won. An early one needs an answer of
// every voter besides the quorum.
func (n *Node) hasWon() bool {
	if n.restart.confirmed != nil {
		for _, id := range n.restartVoters() {
			if !n.restart.confirmed[id] {
				return false
			}
		}
	}
	return n.hasVoteQuorum()
}
