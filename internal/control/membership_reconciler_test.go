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
	for after := reconcileInterval; after < 3*time.Second; after += reconcileInterval {
		silent(after, consensus.Status{Term: 1, Role: consensus.Follower})
	}
	got := silent(3*time.Second, consensus.Status{Term: 2, Role: consensus.Leader, Silence: map[consensus.ID]consensus.Time{"b": time.Hour, "c": 0}})
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

// reconciled is a reconciler of replica z, which leads since simEpoch, at a time after that.
type reconciled struct {
	*MembershipReconciler
	replica *Replica
	live    []consensus.Member
	members consensus.Membership
	silence map[consensus.ID]time.Duration // of the members that do not answer
}

func newReconciled(voters ...consensus.ID) *reconciled {
	x := &reconciled{replica: &Replica{}, members: consensus.Membership{}, silence: map[consensus.ID]time.Duration{}}
	for _, id := range voters {
		x.members[id] = consensus.Member{ID: id, Address: string(id), Voter: true}
		x.live = append(x.live, x.members[id])
	}
	x.MembershipReconciler = NewMembershipReconciler(x.replica, func() []consensus.Member { return x.live }, func() int { return len(voters) }, nil)
	return x
}

// at views the group at a time after simEpoch.
func (x *reconciled) at(after time.Duration) MembershipView {
	st := consensus.Status{ID: "z", Role: consensus.Leader, Members: x.members, Commit: 9, RecentCommit: 9, Match: map[consensus.ID]uint64{}, Silence: map[consensus.ID]consensus.Time{}}
	for id := range x.members {
		st.Match[id], st.Silence[id] = 9, x.silence[id]
		if x.silence[id] < consensus.DefaultElectionTimeout {
			st.Active = append(st.Active, id)
		}
	}
	x.replica.status.Store(&st)
	return x.view(simEpoch.Add(after))
}

// Guards against a voter whose machine is gone and that keeps its vote for as long as the gossip
// still lists it, so that the next machine may be lost before its successor has the vote.
func TestVoterThatDoesNotAnswerIsReplacedThoughTheGossipListsIt(t *testing.T) {
	g := NewWithT(t)
	x := newReconciled("a", "b", "z")
	x.members["n"] = consensus.Member{ID: "n", Address: "n"}
	x.live = append(x.live, x.members["n"])
	for after := time.Duration(0); after <= voterDeadAfter; after += reconcileInterval {
		x.silence["b"] = after
		_, reason, ok := x.at(after).NextChange()
		g.Expect(ok).To(BeFalse(), reason)
	}
	x.silence["b"] = voterDeadAfter + reconcileInterval
	next, reason, _ := x.at(voterDeadAfter + reconcileInterval).NextChange()
	g.Expect(next.IsVoter("n")).To(BeTrue(), reason)
}

// Guards against a leader that takes voters for gone because it did not run itself.
func TestTimeInWhichLeaderDidNotRunIsNoSilence(t *testing.T) {
	g := NewWithT(t)
	x := newReconciled("a", "b", "z")
	x.at(0)
	x.silence["a"], x.silence["b"] = 5*time.Second, 5*time.Second
	g.Expect(x.at(5 * time.Second).silentMembers()).To(Equal(map[consensus.ID]bool{"a": false, "b": false}))
}

// Guards against a restart of the leader's process after which learners whose machines are gone
// keep the successor of a voter out for as long as they did before.
func TestLearnersThatWereNeverSeenKeepNoSuccessorOut(t *testing.T) {
	g := NewWithT(t)
	x := newReconciled("a", "b", "z")
	x.live = append(x.live[1:], consensus.Member{ID: "n", Address: "n"})
	for _, id := range []consensus.ID{"d1", "d2", "d3"} {
		x.members[id] = consensus.Member{ID: id, Address: string(id)}
	}
	joined := time.Duration(0)
	for ; joined < voterDeadAfter; joined += reconcileInterval {
		for _, id := range []consensus.ID{"a", "d1", "d2", "d3"} {
			x.silence[id] = time.Hour
		}
		if next, _, ok := x.at(joined).NextChange(); ok {
			g.Expect(next).To(HaveKey(consensus.ID("n")))
			break
		}
	}
	g.Expect(joined).To(BeNumerically("<=", newLeaderGrace+reconcileInterval))
}

// Guards against a voter whose machine is gone and whose silence begins anew with each change
// that takes long to commit, or with each short lapse of the leader's lease.
func TestGoneVoterIsReplacedAtLeaderWithSlowDisk(t *testing.T) {
	const pause = 600 * time.Millisecond
	g := NewWithT(t)
	x := newReconciled("a", "b", "z")
	x.members["n"] = consensus.Member{ID: "n", Address: "n"}
	x.live = append(x.live[1:], x.members["n"])
	x.observeLease(simEpoch, true, 1)
	replaced := func(after time.Duration) bool {
		x.silence["a"] = after
		x.observeLease(simEpoch.Add(after), false, 1)
		x.observeLease(simEpoch.Add(after), true, 1)
		next, _, ok := x.at(after).NextChange()
		return ok && next.IsVoter("n")
	}
	after := pause
	for !replaced(after) && after < time.Minute {
		after += pause
	}
	g.Expect(after).To(BeNumerically("<=", voterDeadAfter+pause))
	x.silence["a"] = after + pause
	g.Expect(x.at(after + pause).silentMembers()["a"]).To(BeTrue(), "for retirements")
}

// Guards against a surplus voter that runs and loses its vote in favour of one that is gone, which the
// gossip still lists and the leader does not count as silent yet.
func TestSurplusVoterIsTheOneNotHeardForLongest(t *testing.T) {
	g := NewWithT(t)
	x := newReconciled("a", "b", "z")
	x.members["n"] = consensus.Member{ID: "n", Address: "n", Voter: true}
	x.live = append(x.live, x.members["n"])
	x.at(0)
	x.silence["a"] = time.Second
	next, reason, _ := x.at(time.Second).NextChange()
	g.Expect(next.IsVoter("a")).To(BeFalse(), reason)
	g.Expect(next.IsVoter("n")).To(BeTrue(), reason)
}
