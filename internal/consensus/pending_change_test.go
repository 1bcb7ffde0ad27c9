package consensus

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Status shows a membership that only the leader has, and must say that it is not
// committed until a quorum has it.
func TestStatusTellsPendingMembershipChange(t *testing.T) {
	g := NewWithT(t)
	x := newSimTrio()
	x.run(3 * DefaultElectionTimeout)
	leader, f := x.leader(), x.follower()
	g.Expect(leader.Status().ChangePending).To(BeFalse())
	for id := range x.nodes {
		x.isolated[id] = true
	}
	next := leader.Status().Members
	delete(next, f.Status().ID)
	_, _, err := leader.ProposeMembers(x.now, next)
	g.Expect(err).NotTo(HaveOccurred())
	x.exchange()
	g.Expect(leader.Status().Members).To(HaveLen(2))
	g.Expect(leader.Status().ChangePending).To(BeTrue())
	x.isolated = map[ID]bool{}
	x.run(3 * DefaultElectionTimeout)
	g.Expect(x.leader().Status().ChangePending).To(BeFalse())
}
