package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// A retirement has ended when the removal of the replica is committed. It was reported as
// soon as the leader had appended the removal: if the leader and another voter then lose
// their disks, the voters left still count the retired one, whose machine is gone.
func TestRetirementEndsWhenRemovalIsCommitted(t *testing.T) {
	g := NewWithT(t)
	r := &Replica{}
	st := consensus.Status{Role: consensus.Leader, Members: consensus.Membership{"a": {ID: "a", Address: "127.0.0.1:1", Voter: true}}, ChangePending: true}
	r.status.Store(&st)
	reply, err := r.Retire(t.Context(), RetireRequest{Address: "127.0.0.1:2"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Done).To(BeFalse(), "the removal is not committed")

	committed := st
	committed.ChangePending = false
	r.status.Store(&committed)
	reply, err = r.Retire(t.Context(), RetireRequest{Address: "127.0.0.1:2"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Done).To(BeTrue())
}
