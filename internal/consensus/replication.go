package consensus

import "slices"

// Step processes a received message at time now.
func (n *Node) Step(now Time, m Message) {
	n.now = max(n.now, now)
	if m.To != n.id {
		return // addressed to a previous replica at this address
	}
	n.recordReceipt(m)
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.stepVoteRequest(m)
		return
	case MsgPreVoteReply:
		n.stepPreVoteReply(m)
		return
	case MsgRestarted:
		n.stepRestarted(m)
		return
	case MsgRestartedReply:
		n.stepRestartedReply(m)
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case MsgVoteReply:
		n.stepVoteReply(m)
	case MsgAppend:
		n.stepAppend(m)
	case MsgAppendReply:
		n.stepAppendReply(m)
	case MsgSnapshot:
		n.stepSnapshot(m)
	}
}

// acceptLeader accepts the sender of m as the leader and restarts the election timeout.
// It rejects m and returns false if m is from an earlier term. A stale append is no contact: its
// SentAt is set to 0, so that no lease counts from the reply.
func (n *Node) acceptLeader(m *Message) bool {
	if m.Term < n.term {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Hint: n.log.lastIndex()})
		return false
	}
	n.restart.own = false
	if !n.sampleLeaderClock(*m) && n.isStale(*m) {
		n.acceptStaleLeader(*m)
		m.SentAt = 0
		return true
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.lastLeaderContact = n.now
	n.resetElection()
	return true
}

// acceptStaleLeader accepts a stale append of the leader without taking it for a contact: the
// leader may be gone. This replica yields, so that newer appends of a living leader can arrive. A
// pre-candidate continues, because the voters that hear a living leader refuse it.
func (n *Node) acceptStaleLeader(m Message) {
	n.recordStaleHeartbeat(m)
	if n.role == PreCandidate {
		return
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.yield()
}

func (n *Node) stepAppend(m Message) {
	if !n.acceptLeader(&m) {
		return
	}
	if m.Index < n.log.snapshot.Index {
		// The snapshot already covers the first entries: append only those after it.
		skip := n.log.snapshot.Index - m.Index
		if skip > uint64(len(m.Entries)) {
			n.replyAppend(m, n.commit)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = n.log.snapshot.Index
		m.LogTerm = n.log.snapshot.Term
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		n.rejectAppend(m)
		return
	}
	changed := n.appendEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	if changed {
		n.reloadMembers()
	}
	n.updateReadPoint(m)
	n.replyAppend(m, last)
}

// appendEntries appends the entries of es that the log lacks, after it has truncated the
// log at the first conflict. It reports whether the log changed.
func (n *Node) appendEntries(es []Entry) bool {
	for i, e := range es {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.log.truncate(e.Index)
		}
		n.log.append(es[i:]...)
		return true
	}
	return false
}

func (n *Node) replyAppend(m Message, match uint64) {
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: match, SentAt: m.SentAt, Clock: n.now, Incarnation: n.incarnation})
}

// rejectAppend rejects m. The hint in the reply is the last index that may match; it
// skips all entries of the conflicting term at once.
func (n *Node) rejectAppend(m Message) {
	hint := min(m.Index-1, n.log.lastIndex())
	if t, ok := n.log.term(m.Index); ok {
		for hint > n.commit {
			if x, _ := n.log.term(hint); x != t {
				break
			}
			hint--
		}
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Hint: hint, Index: m.Index, SentAt: m.SentAt})
}

func (n *Node) stepAppendReply(m Message) {
	if n.role != Leader || m.Term != n.term {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	if m.Reject {
		n.stepReject(p, m)
		return
	}
	if m.Index >= p.snapshot {
		p.snapshot, p.transferring = 0, false
	}
	if p.probing {
		p.probing, p.next = false, m.Index+1
	}
	p.clock, p.incarnation = m.Clock, m.Incarnation
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if p.next <= n.log.lastIndex() {
		n.sendAppend(m.From)
	}
}

// stepReject moves next back to where the logs may match and starts probing. While
// probing, only the rejection of the newest probe counts.
func (n *Node) stepReject(p *progress, m Message) {
	if p.snapshot != 0 && m.Index == 0 && !p.transferring {
		// The replica rejected the snapshot, since it came from an earlier term.
		p.snapshot, p.next = 0, p.match+1
		n.sendAppend(m.From)
		return
	}
	if p.snapshot != 0 || m.Index < p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.next = max(min(m.Hint, m.Index-1)+1, p.match+1)
	p.probing, p.probeSentAt = true, 0
	n.sendAppend(m.From)
}

func (n *Node) stepSnapshot(m Message) {
	if m.Snapshot == nil || !n.acceptLeader(&m) {
		return
	}
	meta := m.Snapshot.Meta
	if meta.Index <= n.commit {
		n.replyAppend(m, n.commit)
		return
	}
	if n.containsSnapshotEnd(meta) {
		n.commit = meta.Index
		n.replyAppend(m, meta.Index)
		return
	}
	n.log = log{snapshot: meta, stable: meta.Index}
	n.commit = meta.Index
	n.applied = meta.Index
	n.receivedSnapshot = m.Snapshot
	n.reloadMembers()
	n.replyAppend(m, meta.Index)
}

// containsSnapshotEnd reports whether the log already contains the last entry that a
// snapshot covers. The entries after it may have been acknowledged and must be retained.
func (n *Node) containsSnapshotEnd(meta SnapshotMeta) bool {
	t, ok := n.log.term(meta.Index)
	return ok && t == meta.Term
}

func (n *Node) broadcastAppend() {
	n.nextHeartbeatAt = n.now + n.cfg.HeartbeatInterval
	n.broadcastPending = false
	for _, id := range n.members.IDs() {
		if id != n.id {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends id the entries that it lacks, or a snapshot if they are compacted. A
// snapshot message is sent without data; the caller fills it in from storage. Only
// heartbeats are sent while a snapshot or MaxInFlightBytes of entries are in flight, and
// to a replica that needs a snapshot and isn't recently active or is receiving one.
// While probing, one append is sent per heartbeat interval unless a reply has arrived.
func (n *Node) sendAppend(id ID) {
	p := n.progress[id]
	if p == nil {
		return
	}
	if p.snapshot != 0 && !p.transferring && n.now >= p.snapshotSentAt+n.cfg.SnapshotRetryInterval {
		p.snapshot = 0
		p.next = p.match + 1
	}
	if p.probing && p.probeSentAt != 0 && n.now < p.probeSentAt+n.cfg.HeartbeatInterval {
		return
	}
	prev := p.next - 1
	t, ok := n.log.term(prev)
	if !ok && (p.transferring || !n.recentlyActive(id)) {
		// A snapshot for a replica that doesn't answer would be sent for nothing, and
		// again and again. A heartbeat shows whether it is back.
		meta := n.log.snapshot
		n.send(Message{Kind: MsgAppend, To: id, Index: meta.Index, LogTerm: meta.Term, Commit: n.commit, SentAt: n.now})
		return
	}
	if !ok {
		meta := n.log.snapshot
		n.send(Message{Kind: MsgSnapshot, To: id, SentAt: n.now, Snapshot: &Snapshot{Meta: meta}})
		p.next = meta.Index + 1
		p.snapshot, p.snapshotSentAt = meta.Index, n.now
		p.probing = false
		return
	}
	var es []Entry
	if p.snapshot == 0 && n.log.dataBytes(p.match+1, p.next) < n.cfg.MaxInFlightBytes {
		es = n.log.slice(p.next, n.cfg.MaxAppendEntries, n.cfg.MaxAppendBytes)
	}
	if p.probing {
		p.probeSentAt = n.now
	} else {
		p.next += uint64(len(es))
	}
	_, leased := n.LeaseUntil()
	n.send(Message{
		Kind: MsgAppend, To: id, Index: prev, LogTerm: t, Entries: es, Commit: n.commit, SentAt: n.now,
		EchoClock: p.clock, EchoIncarnation: p.incarnation, LeaseHeld: leased,
	})
}

// SnapshotStarted tells the leader that the transfer of the snapshot in flight to id has
// begun. No snapshot is sent to id until SnapshotSent is called.
func (n *Node) SnapshotStarted(id ID) {
	if p := n.progress[id]; p != nil && p.snapshot != 0 {
		p.transferring = true
	}
}

// SnapshotSent tells the leader that the transfer of the snapshot in flight to id has
// ended. After a successful one the snapshot is sent again only if it isn't acknowledged
// within SnapshotRetryInterval from now; after a failed one with the next append.
func (n *Node) SnapshotSent(now Time, id ID, ok bool) {
	n.now = max(n.now, now)
	p := n.progress[id]
	if n.role != Leader || p == nil || p.snapshot == 0 {
		return
	}
	p.transferring = false
	p.snapshotSentAt = n.now
	if !ok {
		p.snapshotSentAt -= n.cfg.SnapshotRetryInterval
	}
}

// NeededAfter returns the lowest index after which an active replica still needs log
// entries, so that it need not receive a snapshot, or another one. Replicas that need a
// snapshot anyway don't count. Without such a replica it returns the last index.
func (n *Node) NeededAfter() uint64 {
	needed := n.log.lastIndex()
	for id, p := range n.progress {
		held := max(p.match, p.snapshot)
		if id != n.id && n.recentlyActive(id) && held >= n.log.snapshot.Index {
			needed = min(needed, held)
		}
	}
	return needed
}

// advanceCommit advances the commit index to the newest entry that a quorum has stored
// durably, if that entry is from the current term.
func (n *Node) advanceCommit() {
	var match []uint64
	for id, m := range n.members {
		if !m.Voter {
			continue
		}
		if p := n.progress[id]; p != nil {
			match = append(match, p.match)
		} else {
			match = append(match, 0)
		}
	}
	if len(match) == 0 {
		return
	}
	slices.Sort(match)
	i := match[len(match)-n.members.Quorum()]
	if t, ok := n.log.term(i); !ok || t != n.term || i <= n.commit {
		return
	}
	n.commit = i
	n.broadcastPending = true
	if m := n.log.membersAt(n.commit); !n.members.IsVoter(n.id) && !m.IsVoter(n.id) {
		n.becomeFollower(n.term, "") // a leader that was removed steps down
	}
}

// leaseStartedAt returns the time at which the leader sent the newest heartbeats that a
// quorum has answered.
func (n *Node) leaseStartedAt() Time {
	var ackedSentAt []Time
	for id, m := range n.members {
		if !m.Voter {
			continue
		}
		switch p := n.progress[id]; {
		case id == n.id:
			ackedSentAt = append(ackedSentAt, n.now)
		case p != nil:
			ackedSentAt = append(ackedSentAt, p.ackedSentAt)
		default:
			ackedSentAt = append(ackedSentAt, 0)
		}
	}
	if len(ackedSentAt) == 0 {
		return 0
	}
	slices.Sort(ackedSentAt)
	return ackedSentAt[len(ackedSentAt)-n.members.Quorum()]
}
