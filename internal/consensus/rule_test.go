package consensus

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// Rules whose breach needs a rare schedule are also tested alone.

// restarted returns a voter of a, b and c with the given log after index 1.
func restarted(hard HardState, entries ...Entry) *Node {
	members := Membership{"a": {ID: "a", Voter: true}, "b": {ID: "b", Voter: true}, "c": {ID: "c", Voter: true}}
	return New(Config{
		ID: "a", Hard: hard, Entries: entries, Now: 10 * DefaultElection, Rand: rand.New(rand.NewPCG(1, 1)),
		Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members},
	})
}

// work stores all that n asks for and returns its messages.
func work(n *Node) []Message {
	var out []Message
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		out = append(out, r.Messages...)
		n.Advance(r)
	}
	return out
}

// elected makes n the leader with the votes of b.
func elected(n *Node) {
	n.Tick(n.now + 2*DefaultElection)
	n.Step(n.now, Message{Kind: MsgPreVoteReply, From: "b", To: "a", Term: n.term + 1})
	n.Step(n.now, Message{Kind: MsgVoteReply, From: "b", To: "a", Term: n.term})
	work(n)
}

// An entry of an earlier term counts as committed only below one of the
// leader's own term: another leader could still replace it.
func TestLeaderCommitsOnlyOverItsOwnTerm(t *testing.T) {
	g := NewWithT(t)
	n := restarted(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2})
	elected(n)
	g.Expect(n.role).To(Equal(Leader))
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: 2, Sent: n.now})
	g.Expect(n.commit).To(Equal(uint64(1)))
	_, ok := n.LeaseUntil()
	g.Expect(ok).To(BeFalse())
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: 3, Sent: n.now})
	g.Expect(n.commit).To(Equal(uint64(3)))
}

// A membership of an earlier leader may still be under way until an entry of
// the own term is committed.
func TestMembersChangeOnlyAfterACommitInTheOwnTerm(t *testing.T) {
	g := NewWithT(t)
	n := restarted(HardState{Term: 1, Commit: 1})
	elected(n)
	next := n.members.Clone()
	next["d"] = Member{ID: "d"}
	_, _, err := n.ProposeMembers(n.now, next)
	g.Expect(err).To(MatchError(ErrChangePending))
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: 2, Sent: n.now})
	_, _, err = n.ProposeMembers(n.now, next)
	g.Expect(err).NotTo(HaveOccurred())
}

// A late snapshot must not take back entries that were acknowledged.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	g := NewWithT(t)
	n := restarted(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2}, Entry{Index: 3, Term: 2}, Entry{Index: 4, Term: 2})
	n.Step(n.now, Message{Kind: MsgSnapshot, From: "b", To: "a", Term: 2, Snapshot: &Snapshot{Meta: SnapshotMeta{Index: 3, Term: 2, Members: n.members}}})
	g.Expect(n.log.last()).To(Equal(uint64(4)))
	g.Expect(n.commit).To(Equal(uint64(3)))
}

// votes reports whether n answers a vote request with a vote.
func votes(n *Node, now Time) bool {
	work(n)
	n.Step(now, Message{Kind: MsgVote, From: "c", To: "a", Term: n.term + 5, Index: 100, LogTerm: 100})
	for _, m := range work(n) {
		if m.Kind == MsgVoteReply {
			return !m.Reject
		}
	}
	return false
}

// A replica may have acknowledged a heartbeat just before its restart.
func TestRestartedReplicaWaitsForAnEarlierLease(t *testing.T) {
	g := NewWithT(t)
	n := restarted(HardState{Term: 1, Commit: 1})
	start := n.now
	g.Expect(votes(n, start+DefaultElection-1)).To(BeFalse())
	g.Expect(votes(n, start+DefaultElection)).To(BeTrue())
}

// A leader that steps down may have work under way under its lease.
func TestFormerLeaderWaitsForItsLease(t *testing.T) {
	g := NewWithT(t)
	n := restarted(HardState{Term: 1, Commit: 1})
	elected(n)
	end := n.now + DefaultElection
	n.Step(n.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: n.term + 1, Reject: true})
	g.Expect(n.role).To(Equal(Follower))
	g.Expect(votes(n, end-1)).To(BeFalse())
	g.Expect(votes(n, end)).To(BeTrue())
}

// A change must leave a quorum that answers, and a new voter must hold all that
// is committed.
func TestMembersChangeOnlyToAQuorumThatAnswers(t *testing.T) {
	g := NewWithT(t)
	n := restarted(HardState{Term: 1, Commit: 1})
	elected(n)
	ack := func(id ID) {
		n.Step(n.now, Message{Kind: MsgAppendReply, From: id, To: "a", Term: n.term, Index: n.log.last(), Sent: n.now})
		work(n)
	}
	propose := func(change func(Membership)) error {
		next := n.members.Clone()
		change(next)
		_, _, err := n.ProposeMembers(n.now, next)
		work(n)
		return err
	}
	ack("b")
	g.Expect(propose(func(m Membership) { delete(m, "b") })).To(MatchError(ErrNoQuorum), "c does not answer")
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d", Voter: true} })).To(MatchError(ErrNotCaughtUp))
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d"} })).To(Succeed())
	ack("b")
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d", Voter: true} })).To(MatchError(ErrNotCaughtUp))
	ack("d")
	g.Expect(propose(func(m Membership) { m["d"] = Member{ID: "d", Voter: true} })).To(Succeed())
}

// A leader that hears no quorum gives way after an election timeout. One that was
// late itself may have the answers unread: it waits one more, without a lease.
func TestLeaderThatWasLateWaitsForTheAnswers(t *testing.T) {
	g := NewWithT(t)
	for _, late := range []bool{false, true} {
		n := restarted(HardState{Term: 1, Commit: 1})
		elected(n)
		n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: n.log.last(), Sent: n.now})
		work(n)
		began, step := n.now, DefaultHeartbeat/4
		tickTo := func(end Time) {
			for n.now < end {
				if late && n.now == began+2*step {
					n.Tick(n.now + 2*DefaultHeartbeat)
				} else {
					n.Tick(n.now + step)
				}
				work(n)
			}
		}
		tickTo(began + DefaultElection + step)
		_, lease := n.LeaseUntil()
		g.Expect(lease).To(BeFalse())
		if !late {
			g.Expect(n.role).To(Equal(Follower))
			continue
		}
		g.Expect(n.role).To(Equal(Leader))
		n.Step(n.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: n.term, Index: n.log.last(), Sent: n.now - step})
		work(n)
		_, lease = n.LeaseUntil()
		g.Expect(lease).To(BeTrue(), "the answers were waiting")
		tickTo(n.now + DefaultElection + 2*step)
		g.Expect(n.role).To(Equal(Follower), "not late again")
	}
}
