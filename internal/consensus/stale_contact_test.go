package consensus

import (
	"fmt"
	"testing"

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
		})
	}
}
