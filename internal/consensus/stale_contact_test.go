package consensus

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newTrioWithThawedSuccessor returns a trio whose leader is gone for good, and the only replica
// that can succeed it: it was frozen for d, which is longer than any promise to the leader lasts,
// and the last entry of the leader and its heartbeats of 0.6 s waited for it.
func newTrioWithThawedSuccessor(t *testing.T, seed uint64, d Time) (*simTrio, *Node) {
	t.Helper()
	x := newSimTrioOf(seed)
	x.run(3 * DefaultElectionTimeout)
	l := x.leader()
	var others []ID
	for _, id := range l.members.IDs() {
		if id != l.id {
			others = append(others, id)
		}
	}
	other, successor := others[0], others[1]
	start := x.now
	x.frozen = successor
	x.run(3 * DefaultHeartbeatInterval)
	x.isolated[other] = true
	_, _, err := l.Propose(x.now, []byte("last"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	x.exchange()
	x.isolated[l.id], x.isolated[other] = true, false
	x.run(start + d - x.now)
	x.thaw()
	return x, x.nodes[successor]
}

// Guards against heartbeats of a dead leader that waited during a freeze and count as a contact,
// so that the only replica that can be elected waits for its whole election timeout.
func TestThawedReplicaWithNewestLogIsElectedAtOnce(t *testing.T) {
	const bound = (preVoteWaitHeartbeats + 1) * DefaultHeartbeatInterval
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			x, successor := newTrioWithThawedSuccessor(t, seed, 2*DefaultElectionTimeout+Time(seed)*DefaultHeartbeatInterval/4)
			thawed := x.now
			for x.leader() != successor && x.now < thawed+10*DefaultElectionTimeout {
				x.run(DefaultHeartbeatInterval / 4)
			}
			NewWithT(t).Expect(x.now-thawed).To(BeNumerically("<=", bound), "%+v", successor.Status())
			NewWithT(t).Expect(successor.Status().StaleHeartbeats.Age).To(BeNumerically(">=", DefaultElectionTimeout))
		})
	}
}

// Guards against a living leader that loses its quorum because the disk of a follower is slow: the
// follower's replies, and so their echoes, are old, but its appends did not wait for long. An append
// that waited renews no promise, so no lease may count from its reply.
func TestContactDependsOnHowLongAppendWaited(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	start := n.now
	n.Tick(start)
	const leaderAhead = time.Hour // difference of the clocks
	heartbeat := func(received, sent, echo Time) Time {
		n.Step(received, Message{
			Kind: MsgAppend, From: "b", To: "a", Term: 1, Index: 1, LogTerm: 1, SentAt: sent + leaderAhead,
			EchoClock: echo, EchoIncarnation: n.incarnation,
		})
		replies := flushReady(n)
		return replies[len(replies)-1].SentAt
	}
	g.Expect(heartbeat(start+time.Second, start+time.Second, start+900*time.Millisecond)).NotTo(BeZero())
	now := start + 3*time.Second
	g.Expect(heartbeat(now, now-900*time.Millisecond, start+time.Second)).To(Equal(now - 900*time.Millisecond + leaderAhead))
	g.Expect(grantsVote(n, now+DefaultElectionTimeout-1)).To(BeFalse(), "the promise was renewed")
	now += DefaultElectionTimeout
	g.Expect(heartbeat(now, now-DefaultElectionTimeout, start+time.Second)).To(BeZero())
	g.Expect(grantsVote(n, now)).To(BeTrue(), "the promise was not renewed")
}
