package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// A replica that had lost its disk was retired in the place of its successor at the same address, whose
// retirement then never ended.
func TestRetirementIncludesSuccessorOfLostReplica(t *testing.T) {
	g := NewWithT(t)
	r := startSingleReplica(t, t.TempDir())
	const address = "127.0.0.1:2"
	var lost, successor consensus.ID = "lost", "successor"
	for _, id := range []consensus.ID{lost, successor} {
		g.Eventually(func() error {
			_, err := r.Members(t.Context(), MembersRequest{Add: &consensus.Member{ID: id, Address: address}})
			return err
		}, "5s").Should(Succeed())
	}
	r.publishSilence(r.Status().Term, map[consensus.ID]bool{lost: true})
	reply, err := r.Retire(t.Context(), RetireRequest{Address: address, Start: true, MinRemaining: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Done).To(BeFalse())
	g.Expect(r.retiringReplicas()).To(And(HaveKey(lost), HaveKey(successor)))
}
