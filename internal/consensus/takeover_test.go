package consensus

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a committed entry that too few replicas hold after a lost voter that counted for
// its quorum has been replaced, and against a successor that must hold newer entries than these,
// which a slow one never does under load.
func TestSuccessorMustHoldWhatTheLostVoterCountedFor(t *testing.T) {
	for _, c := range []struct {
		name         string
		lostAcked    uint64 // by the lost voter in this term; 0: none
		mustHold     uint64
		beforeCommit bool // the exchange is proposed before index 8 is committed
	}{
		{"entries of earlier terms", 0, 3, false},
		{"entries of this term", 7, 7, false},
		{"entries that are not committed", 8, 7, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newRestartedVoter(HardState{Term: 1, Commit: 1}, Entry{Index: 2, Term: 1}, Entry{Index: 3, Term: 1})
			n.members["e"] = Member{ID: "e", Voter: true}
			n.members["f"] = Member{ID: "f", Voter: true}
			electWithVotesOf(n, "b", "e")
			g.Expect(n.role).To(Equal(Leader))
			ack := func(index uint64, ids ...ID) {
				for _, id := range ids {
					n.Step(n.now, Message{Kind: MsgAppendReply, From: id, To: "a", Term: n.term, Index: index, SentAt: n.now})
				}
				flushReady(n)
			}
			propose := func(index uint64) {
				for n.log.lastIndex() < index {
					_, _, err := n.Propose(n.now, nil)
					g.Expect(err).NotTo(HaveOccurred())
				}
				flushReady(n)
			}
			ack(4, "b", "e")
			learners := n.members.Clone()
			learners["d"] = Member{ID: "d"}
			_, _, err := n.ProposeMembers(n.now, learners)
			g.Expect(err).NotTo(HaveOccurred())
			flushReady(n)
			ack(5, "b", "e")
			propose(7)
			ack(7, "b", "e")
			propose(8)
			ack(c.lostAcked, "c")
			if !c.beforeCommit {
				propose(9)
				ack(9, "b", "e")
			}
			g.Expect(n.Status().TakeoverIndex).To(HaveKeyWithValue(ID("c"), c.mustHold))
			exchanged := n.members.Clone()
			delete(exchanged, "c")
			exchanged["d"] = Member{ID: "d", Voter: true}
			ack(c.mustHold-1, "d")
			_, _, err = n.ProposeMembers(n.now, exchanged)
			g.Expect(err).To(MatchError(ErrNotCaughtUp))
			ack(c.mustHold, "d")
			_, _, err = n.ProposeMembers(n.now, exchanged)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}
