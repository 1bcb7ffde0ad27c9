package consensus

import (
	"testing"

	. "github.com/onsi/gomega"
)

// sent returns the messages of a kind that n sends at time now.
func sent(n *Node, now Time, kind MessageKind) []Message {
	n.Tick(now)
	var out []Message
	for _, m := range flushReady(n) {
		if m.Kind == kind {
			out = append(out, m)
		}
	}
	return out
}

// Guards against a replica with the newest log that never starts an election, because requests of
// later terms that it refuses restart its election timer.
func TestRefusedRequestsOfLaterTermsDontPostponeElection(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2})
	start := n.now
	n.Tick(start + DefaultElectionTimeout)
	var asked []Message
	for now := n.now; len(asked) == 0 && now <= start+2*DefaultElectionTimeout; now += DefaultHeartbeatInterval {
		n.Step(now, Message{Kind: MsgVote, From: "c", To: "a", Term: n.term + 1, Index: 1, LogTerm: 1})
		n.Step(now, Message{Kind: MsgPreVoteReply, From: "c", To: "a", Term: n.term + 1, Reject: true})
		asked = sent(n, now, MsgPreVote)
	}
	g.Expect(asked).To(HaveLen(2), "no election in two election timeouts")
}

// Guards against the wait for another election timeout after a pre-vote in too early a term.
func TestPreVoteIsRepeatedInLaterTerm(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2})
	g.Expect(sent(n, n.now+2*DefaultElectionTimeout, MsgPreVote)).To(HaveLen(2))
	n.Step(n.now, Message{Kind: MsgPreVoteReply, From: "c", To: "a", Term: 7, Reject: true})
	asked := sent(n, n.now, MsgPreVote)
	g.Expect(asked).To(HaveLen(2))
	g.Expect(asked[0].Term).To(Equal(uint64(8)))
	n.Step(n.now, Message{Kind: MsgPreVoteReply, From: "c", To: "a", Term: 7, Reject: true})
	g.Expect(sent(n, n.now, MsgPreVote)).To(BeEmpty(), "the refusal is not of a later term")
}
