package consensus

import "slices"

// Step takes in a message at time now.
func (n *Node) Step(now Time, m Message) {
	n.now = max(n.now, now)
	if m.To != n.id {
		return // meant for an earlier identity of this address
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.stepVoteRequest(m)
		return
	case MsgPreVoteReply:
		n.stepPreVoteReply(m)
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

// follow accepts m's sender as the leader; false when its term is over.
func (n *Node) follow(m Message) bool {
	if m.Term < n.term {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Hint: n.log.last()})
		return false
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heardLeader = n.now
	n.resetElection()
	return true
}

func (n *Node) stepAppend(m Message) {
	if !n.follow(m) {
		return
	}
	if m.Index < n.log.snapshot.Index {
		// The prefix is in our snapshot: take what lies after it.
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
	changed := n.takeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	if changed {
		n.reloadMembers()
	}
	n.learnReadPoint(m)
	n.replyAppend(m, last)
}

// takeEntries appends es, cutting off a conflicting tail, and reports whether
// the log changed.
func (n *Node) takeEntries(es []Entry) bool {
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
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: match, Sent: m.Sent, Clock: n.now, Life: n.life})
}

// rejectAppend names the last index that may match, skipping a whole
// conflicting term at a time.
func (n *Node) rejectAppend(m Message) {
	hint := min(m.Index-1, n.log.last())
	if t, ok := n.log.term(m.Index); ok {
		for hint > n.commit {
			if x, _ := n.log.term(hint); x != t {
				break
			}
			hint--
		}
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Hint: hint, Index: m.Index, Sent: m.Sent})
}

func (n *Node) stepAppendReply(m Message) {
	if n.role != Leader || m.Term != n.term {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.acked = max(p.acked, m.Sent)
	if m.Reject {
		n.stepReject(p, m)
		return
	}
	if m.Index >= p.snapshot {
		p.snapshot = 0
	}
	if p.probing {
		p.probing, p.next = false, m.Index+1
	}
	p.clock, p.life = m.Clock, m.Life
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if p.next <= n.log.last() {
		n.sendAppend(m.From)
	}
}

// stepReject goes back to where the logs may match. Of several rejections in a
// row only the one of the newest probe counts.
func (n *Node) stepReject(p *progress, m Message) {
	if p.snapshot != 0 || m.Index < p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.next = max(min(m.Hint, m.Index-1)+1, p.match+1)
	p.probing, p.probed = true, 0
	n.sendAppend(m.From)
}

func (n *Node) stepSnapshot(m Message) {
	if m.Snapshot == nil || !n.follow(m) {
		return
	}
	meta := m.Snapshot.Meta
	if meta.Index <= n.commit {
		n.replyAppend(m, n.commit)
		return
	}
	if n.keepTail(meta) {
		n.commit = meta.Index
		n.replyAppend(m, meta.Index)
		return
	}
	n.log = log{snapshot: meta, stable: meta.Index}
	n.commit = meta.Index
	n.applied = meta.Index
	n.installed = m.Snapshot
	n.reloadMembers()
	n.replyAppend(m, meta.Index)
}

// keepTail reports whether the log already holds the prefix that a snapshot
// covers. Entries after it may have been acknowledged and must stay.
func (n *Node) keepTail(meta SnapshotMeta) bool {
	t, ok := n.log.term(meta.Index)
	return ok && t == meta.Term
}

func (n *Node) broadcastAppend() {
	n.beatAt = n.now + n.cfg.Heartbeat
	n.dirty = false
	for _, id := range n.members.IDs() {
		if id != n.id {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends what id lacks. A snapshot message goes out without data; the
// caller fills it in from storage. While a snapshot or more entries than a window
// are in flight, only heartbeats go out; while probing, one append per heartbeat
// interval unless a reply has come.
func (n *Node) sendAppend(id ID) {
	p := n.progress[id]
	if p == nil {
		return
	}
	if p.snapshot != 0 && n.now >= p.snapshotAt+n.cfg.SnapshotRetry {
		p.snapshot = 0
		p.next = p.match + 1
	}
	if p.probing && p.probed != 0 && n.now < p.probed+n.cfg.Heartbeat {
		return
	}
	prev := p.next - 1
	t, ok := n.log.term(prev)
	if !ok {
		meta := n.log.snapshot
		n.send(Message{Kind: MsgSnapshot, To: id, Sent: n.now, Snapshot: &Snapshot{Meta: meta}})
		p.next = meta.Index + 1
		p.snapshot, p.snapshotAt = meta.Index, n.now
		p.probing = false
		return
	}
	var es []Entry
	if p.snapshot == 0 && n.log.bytes(p.match+1, p.next) < n.cfg.WindowBytes {
		es = n.log.slice(p.next, n.cfg.MaxAppend, n.cfg.MaxAppendBytes)
	}
	if p.probing {
		p.probed = n.now
	} else {
		p.next += uint64(len(es))
	}
	_, leased := n.LeaseUntil()
	n.send(Message{
		Kind: MsgAppend, To: id, Index: prev, LogTerm: t, Entries: es, Commit: n.commit, Sent: n.now,
		Echo: p.clock, EchoLife: p.life, Leased: leased,
	})
}

// advanceCommit commits what a quorum holds durably, in the current term only.
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
	n.dirty = true
	if m := n.log.membersAt(n.commit); !n.members.IsVoter(n.id) && !m.IsVoter(n.id) {
		n.becomeFollower(n.term, "") // a removed leader steps down
	}
}

// leaseStart is the sending time of the newest heartbeat round that a quorum
// has answered.
func (n *Node) leaseStart() Time {
	var acked []Time
	for id, m := range n.members {
		if !m.Voter {
			continue
		}
		switch p := n.progress[id]; {
		case id == n.id:
			acked = append(acked, n.now)
		case p != nil:
			acked = append(acked, p.acked)
		default:
			acked = append(acked, 0)
		}
	}
	if len(acked) == 0 {
		return 0
	}
	slices.Sort(acked)
	return acked[len(acked)-n.members.Quorum()]
}
