package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Guards against a wait for a silent voter that begins anew with each leader, so that the next
// loss of disks comes before the voter is replaced.
func TestSilenceCountsFromBeforeTheTerm(t *testing.T) {
	g := NewWithT(t)
	members := consensus.Membership{}
	for _, id := range []consensus.ID{"a", "b", "c"} {
		members[id] = consensus.Member{ID: id, Voter: true}
	}
	replica := &Replica{}
	live := []consensus.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	r := NewMembershipReconciler(replica, func() []consensus.Member { return live }, func() int { return 3 }, nil)
	silent := func(after time.Duration, st consensus.Status) map[consensus.ID]time.Duration {
		st.ID, st.Members = "a", members
		replica.status.Store(&st)
		return r.view(simEpoch.Add(after)).SilentFor
	}
	silent(0, consensus.Status{Term: 1, Role: consensus.Follower})
	live = live[:1]
	silent(time.Second, consensus.Status{Term: 1, Role: consensus.Follower})
	got := silent(3*time.Second, consensus.Status{Term: 2, Role: consensus.Leader, Active: []consensus.ID{"c"}})
	g.Expect(got).To(Equal(map[consensus.ID]time.Duration{"b": 3 * time.Second, "c": 0}))
}

// Guards against a learner that is in the list of live daemons but does not answer the
// leader, which rejects it as a voter, and so keeps another one from the lost vote.
func TestLearnerThatDoesNotAnswerIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	members := consensus.Membership{"z": {ID: "z", Voter: true}, "b": {ID: "b"}, "c": {ID: "c"}}
	replica := &Replica{}
	live := []consensus.Member{{ID: "z"}, {ID: "b"}, {ID: "c"}}
	r := NewMembershipReconciler(replica, func() []consensus.Member { return live }, func() int { return 2 }, nil)
	replica.status.Store(&consensus.Status{
		ID: "z", Role: consensus.Leader, Members: members, Commit: 9, RecentCommit: 9,
		Match: map[consensus.ID]uint64{"z": 9, "b": 9, "c": 9}, Active: []consensus.ID{"z", "c"},
	})
	next, reason, ok := r.view(simEpoch).NextChange()
	g.Expect(ok).To(BeTrue())
	g.Expect(next.IsVoter("c")).To(BeTrue(), reason)
	g.Expect(next.IsVoter("b")).To(BeFalse(), reason)
}
