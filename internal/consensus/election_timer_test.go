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

// Guards against a group that waits for the election timer of the only replica that can be elected,
// while others ask it in vain. It must keep its promises nevertheless.
func TestReplicaThatRefusesOlderLogStartsElectionItself(t *testing.T) {
	g := NewWithT(t)
	olderLog := Message{Kind: MsgPreVote, From: "c", To: "a", Term: 3, Index: 1, LogTerm: 1}
	newNode := func() *Node { return newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2}) }

	n := newNode()
	promised := n.now + DefaultElectionTimeout
	n.Step(promised-1, olderLog)
	g.Expect(sent(n, promised, MsgPreVote)).To(BeEmpty(), "refused because of the promise")
	n.Step(promised, olderLog)
	g.Expect(sent(n, promised, MsgPreVote)).To(HaveLen(2))
	g.Expect(n.Status().OlderLogRefusals).To(Equal(OlderLogRefusals{Count: 1, From: "c", PreVote: true, Index: 1, LogTerm: 1}))

	for _, granted := range []MessageKind{MsgPreVote, MsgVote} {
		n = newNode()
		n.Step(promised, Message{Kind: granted, From: "b", To: "a", Term: 3, Index: 2, LogTerm: 2})
		n.Step(promised, olderLog)
		yields := promised + preVoteWaitHeartbeats*DefaultHeartbeatInterval
		g.Expect(sent(n, yields-1, MsgPreVote)).To(BeEmpty(), "b may win")
		g.Expect(sent(n, yields, MsgPreVote)).To(HaveLen(2))
	}
}

// Guards against the wait for another election timeout when a voter that was unreachable, or had
// promised a leader to vote for nobody, could grant its pre-vote.
func TestPreVoteIsRepeatedToVotersThatDidNotGrantIt(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2})
	first := n.now + 2*DefaultElectionTimeout
	g.Expect(sent(n, first, MsgPreVote)).To(HaveLen(2))
	n.Step(n.now, Message{Kind: MsgPreVoteReply, From: "c", To: "a", Term: 2, Reject: true})
	again := first + DefaultHeartbeatInterval
	g.Expect(sent(n, again-1, MsgPreVote)).To(BeEmpty())
	g.Expect(sent(n, again, MsgPreVote)).To(HaveLen(2))
	n.Tick(n.electionAt)
	g.Expect(n.Status().Election).To(Equal(ElectionResult{Failed: 1, PreVote: true, Granted: []ID{"a"}, Rejected: []ID{"c"}}))
	n.Step(n.now, Message{Kind: MsgPreVoteReply, From: "c", To: "a", Term: 3})
	g.Expect(n.role).To(Equal(Candidate))
}

// Guards against a replica whose messages arrive but that receives none, and that keeps the others
// from an election because they yield to each of its requests, so that a reply of another one, which
// takes longer than they wait between two of them, comes too late.
func TestRepeatedPreVotesDontPostponeElectionOfOthers(t *testing.T) {
	for _, roundTrip := range []Time{0, DefaultHeartbeatInterval, 2 * DefaultHeartbeatInterval} {
		g := NewWithT(t)
		n := newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2})
		start, replies := n.now, []Time(nil)
		for now := start; n.role != Candidate && now <= start+3*DefaultElectionTimeout; now += DefaultHeartbeatInterval / 10 {
			if now >= start+DefaultElectionTimeout && (now-start)%DefaultHeartbeatInterval == 0 {
				n.Step(now, Message{Kind: MsgPreVote, From: "c", To: "a", Term: 3, Index: 2, LogTerm: 2})
			}
			if len(replies) > 0 && now >= replies[0] {
				n.Step(now, Message{Kind: MsgPreVoteReply, From: "b", To: "a", Term: 3})
				replies = replies[1:]
			}
			if len(sent(n, now, MsgPreVote)) > 0 {
				replies = append(replies, now+roundTrip)
			}
		}
		g.Expect(n.role).To(Equal(Candidate), "%v", roundTrip)
	}
}

// Guards against two candidates that split the votes although one of them has granted the other its
// pre-vote.
func TestPreCandidateThatGrantsPreVoteYields(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2})
	g.Expect(sent(n, n.now+2*DefaultElectionTimeout, MsgPreVote)).To(HaveLen(2))
	n.Step(n.now, Message{Kind: MsgPreVote, From: "b", To: "a", Term: 3, Index: 3, LogTerm: 2})
	n.Step(n.now, Message{Kind: MsgPreVoteReply, From: "c", To: "a", Term: 3})
	g.Expect(n.role).To(Equal(PreCandidate))
	again := sent(n, n.now+preVoteWaitHeartbeats*DefaultHeartbeatInterval, MsgPreVote)
	g.Expect(again).To(HaveLen(2), "b may have failed")
	n.Step(n.now, Message{Kind: MsgPreVoteReply, From: "c", To: "a", Term: 3})
	g.Expect(n.role).To(Equal(Candidate))
}
