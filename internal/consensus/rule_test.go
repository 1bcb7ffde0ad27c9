package consensus

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// The tests in this file check single rules of the protocol. Random schedules rarely reach a
// state in which a violation of one of these rules would be detected.

// newRestartedVoter returns voter a of the cluster a, b, c, restarted with the given log
// entries after index 1.
func newRestartedVoter(hard HardState, entries ...Entry) *Node {
	members := Membership{"a": {ID: "a", Voter: true}, "b": {ID: "b", Voter: true}, "c": {ID: "c", Voter: true}}
	return New(Config{
		ID: "a", Hard: hard, Entries: entries, Now: 10 * DefaultElectionTimeout, Rand: rand.New(rand.NewPCG(1, 1)),
		Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members},
	})
}

// flushReady processes all outstanding work of n and returns the messages to send.
func flushReady(n *Node) []Message {
	var out []Message
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		out = append(out, r.Messages...)
		n.Advance(r)
	}
	return out
}

// electWithVoteOfB makes n the leader with the vote of b.
func electWithVoteOfB(n *Node) { electWithVotesOf(n, "b") }

func electWithVotesOf(n *Node, ids ...ID) {
	n.Tick(n.now + 2*DefaultElectionTimeout)
	for _, id := range ids {
		n.Step(n.now, Message{Kind: MsgPreVoteReply, From: id, To: "a", Term: n.term + 1})
	}
	for _, id := range ids {
		n.Step(n.now, Message{Kind: MsgVoteReply, From: id, To: "a", Term: n.term})
	}
	flushReady(n)
}

// An entry of an earlier term is committed only together with an entry of the leader's own
// term. Otherwise another leader could still replace it, although a quorum has it.
func TestLeaderCommitsEarlierTermsOnlyWithItsOwnTerm(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2})
	electWithVoteOfB(n)
	g.Expect(n.role).To(Equal(Leader))
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: 2, SentAt: n.now})
	g.Expect(n.commit).To(Equal(uint64(1)))
	_, ok := n.LeaseUntil()
	g.Expect(ok).To(BeFalse())
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: 3, SentAt: n.now})
	g.Expect(n.commit).To(Equal(uint64(3)))
}

// A membership change of an earlier leader may still be pending until the leader has
// committed an entry of its own term. Until then it must reject membership changes.
func TestMembershipChangeRequiresCommitInCurrentTerm(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	electWithVoteOfB(n)
	next := n.members.Clone()
	next["d"] = Member{ID: "d"}
	_, _, err := n.ProposeMembers(n.now, next)
	g.Expect(err).To(MatchError(ErrChangePending))
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: 2, SentAt: n.now})
	_, _, err = n.ProposeMembers(n.now, next)
	g.Expect(err).NotTo(HaveOccurred())
}

// A delayed snapshot must not remove entries that were already acknowledged.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2}, Entry{Index: 3, Term: 2}, Entry{Index: 4, Term: 2})
	n.Step(n.now, Message{Kind: MsgSnapshot, From: "b", To: "a", Term: 2, Snapshot: &Snapshot{Meta: SnapshotMeta{Index: 3, Term: 2, Members: n.members}}})
	g.Expect(n.log.lastIndex()).To(Equal(uint64(4)))
	g.Expect(n.commit).To(Equal(uint64(3)))
}

// grantsVote reports whether n grants a vote at time now.
func grantsVote(n *Node, now Time) bool {
	flushReady(n)
	n.Step(now, Message{Kind: MsgVote, From: "c", To: "a", Term: n.term + 5, Index: 100, LogTerm: 100})
	for _, m := range flushReady(n) {
		if m.Kind == MsgVoteReply {
			return !m.Reject
		}
	}
	return false
}

// A replica may have acknowledged a heartbeat just before its restart, so the leader lease
// may depend on it. It must not grant a vote until that lease has ended.
func TestRestartedReplicaGrantsNoVoteWithinElectionTimeout(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	start := n.now
	g.Expect(grantsVote(n, start+DefaultElectionTimeout-1)).To(BeFalse())
	g.Expect(grantsVote(n, start+DefaultElectionTimeout)).To(BeTrue())
}

// Operations that a leader started under its lease may still be in progress when it steps
// down. It must not grant a vote until that lease has ended.
func TestFormerLeaderGrantsNoVoteWithinElectionTimeout(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	electWithVoteOfB(n)
	end := n.now + DefaultElectionTimeout
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: n.term + 1, Reject: true})
	g.Expect(n.role).To(Equal(Follower))
	g.Expect(grantsVote(n, end-1)).To(BeFalse())
	g.Expect(grantsVote(n, end)).To(BeTrue())
}

// A membership change must leave a quorum of recently active voters, and a new voter must
// have all committed entries.
func TestMembershipChangeRequiresActiveQuorumAndCaughtUpVoters(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	electWithVoteOfB(n)
	ack := func(id ID) {
		n.Step(n.now, Message{Kind: MsgAppendReply, From: id, To: "a", Term: n.term, Index: n.log.lastIndex(), SentAt: n.now})
		flushReady(n)
	}
	propose := func(change func(Membership)) error {
		next := n.members.Clone()
		change(next)
		_, _, err := n.ProposeMembers(n.now, next)
		flushReady(n)
		return err
	}
	ack("b")
	g.Expect(propose(func(m Membership) { delete(m, "b") })).To(MatchError(ErrNoQuorum), "c has not answered")
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d", Voter: true} })).To(MatchError(ErrNotCaughtUp))
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d"} })).To(Succeed())
	ack("b")
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d", Voter: true} })).To(MatchError(ErrNotCaughtUp))
	ack("d")
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d", Voter: true} })).To(Succeed())
}

// A leader that no quorum answers steps down after an election timeout. If the leader
// itself ticked late, replies may be waiting unread. It then waits for one more election
// timeout, without a lease.
func TestLeaderWithLateTickStepsDownLater(t *testing.T) {
	g := NewWithT(t)
	for _, late := range []bool{false, true} {
		n := newRestartedVoter(HardState{Term: 1, Commit: 1})
		electWithVoteOfB(n)
		n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: n.log.lastIndex(), SentAt: n.now})
		flushReady(n)
		startedAt, step := n.now, DefaultHeartbeatInterval/4
		tickTo := func(end Time) {
			for n.now < end {
				if late && n.now == startedAt+2*step {
					n.Tick(n.now + 2*DefaultHeartbeatInterval)
				} else {
					n.Tick(n.now + step)
				}
				flushReady(n)
			}
		}
		tickTo(startedAt + DefaultElectionTimeout + step)
		_, lease := n.LeaseUntil()
		g.Expect(lease).To(BeFalse())
		if !late {
			g.Expect(n.role).To(Equal(Follower))
			continue
		}
		g.Expect(n.role).To(Equal(Leader))
		n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: n.log.lastIndex(), SentAt: n.now - step})
		flushReady(n)
		_, lease = n.LeaseUntil()
		g.Expect(lease).To(BeTrue(), "replies were waiting unread")
		tickTo(n.now + DefaultElectionTimeout + 2*step)
		g.Expect(n.role).To(Equal(Follower), "the leader did not tick late again")
	}
}
