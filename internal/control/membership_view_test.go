package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// simTakeoverIndex is up to where a successor must hold the log of a simGroup, in which entries
// up to index 10 are committed.
const simTakeoverIndex = 8

// simGroup is a simulated control group. Its leader is replica r0 on machine 0.
type simGroup struct {
	view    MembershipView
	machine map[consensus.ID]int
}

func newSimGroup(voters int) *simGroup {
	g := &simGroup{machine: map[consensus.ID]int{}}
	g.view = MembershipView{Self: "r0", Members: consensus.Membership{}, Match: map[consensus.ID]uint64{}, Commit: 10, RecentCommit: 10, TakeoverIndex: map[consensus.ID]uint64{}, SilentFor: map[consensus.ID]time.Duration{}, Retiring: map[consensus.ID]bool{}, Voters: voters, MaxMembers: membersPerVoter * voters}
	for i := range voters {
		m := g.member(consensus.ID(fmt.Sprint("r", i)), i)
		m.Voter = true
		g.view.Members[m.ID] = m
		g.start(m.ID, i)
	}
	return g
}

func (g *simGroup) member(id consensus.ID, machine int) consensus.Member {
	return consensus.Member{ID: id, Address: fmt.Sprint("m", machine), Zone: fmt.Sprint("z", machine%3)}
}

func (g *simGroup) start(id consensus.ID, machine int) {
	g.view.Live = append(g.view.Live, g.member(id, machine))
	g.view.Match[id] = g.view.Commit
	g.view.SilentFor[id] = 0
}

func (g *simGroup) stop(id consensus.ID, silent time.Duration) {
	var live []consensus.Member
	for _, m := range g.view.Live {
		if m.ID != id {
			live = append(live, m)
		}
	}
	g.view.Live = live
	g.view.SilentFor[id] = silent
}

// reconcile applies membership changes until none is needed. It returns their number.
func (g *simGroup) reconcile(t Gomega) int {
	for changes := 0; ; changes++ {
		t.Expect(changes).To(BeNumerically("<", 40))
		for _, id := range g.voters() {
			g.view.TakeoverIndex[id] = simTakeoverIndex
		}
		next, _, ok := g.view.NextChange()
		if !ok {
			return changes
		}
		t.Expect(g.view.Members.ChangesAtMostOneVoter(next) || g.view.Members.ReplacesOneVoter(next)).To(BeTrue())
		t.Expect(next.IsVoter("r0")).To(BeTrue(), "the leader keeps its vote")
		t.Expect(next.Voters()).To(BeNumerically(">=", min(g.view.Voters, g.view.Members.Voters())))
		g.view.Members = next
	}
}

func (g *simGroup) voters() []consensus.ID {
	var out []consensus.ID
	for _, id := range g.view.Members.IDs() {
		if g.view.Members.IsVoter(id) {
			out = append(out, id)
		}
	}
	return out
}

func TestHealthyGroupNeedsNoChange(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newSimGroup(3).reconcile(g)).To(BeZero())
}

func TestReplicaWithLostDiskIsReplacedAtSameAddress(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.stop("r1", 0)
	x.start("r1b", 1)
	x.view.Match["r1b"] = simTakeoverIndex - 1
	g.Expect(x.reconcile(g)).To(Equal(1), "a learner that lacks log entries must not become a voter")
	g.Expect(x.voters()).To(ConsistOf(consensus.ID("r0"), consensus.ID("r1"), consensus.ID("r2")))
	x.view.Match["r1b"] = simTakeoverIndex
	x.reconcile(g)
	g.Expect(x.voters()).To(ConsistOf(consensus.ID("r0"), consensus.ID("r1b"), consensus.ID("r2")))
}

// Guards against waiting for the silence of a voter that is known to have lost its disk:
// after a change of leader the wait began anew, and the next loss of disks came before.
func TestLearnerReplacesLostVoterAtOnce(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.stop("r1", 0)
	x.start("r1b", 1)
	x.start("n", 5)
	x.view.Match["r1b"] = 0
	x.view.Members["r1b"] = consensus.Member{ID: "r1b", Address: "m1"}
	x.view.Members["n"] = consensus.Member{ID: "n", Address: "m5"}
	x.reconcile(g)
	g.Expect(x.voters()).To(ConsistOf(consensus.ID("r0"), consensus.ID("r2"), consensus.ID("n")))
}

func TestLearnerReplacesDeadVoter(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.stop("r2", voterDeadAfter+time.Millisecond)
	x.start("n", 5)
	x.reconcile(g)
	g.Expect(x.voters()).To(ConsistOf(consensus.ID("r0"), consensus.ID("r1"), consensus.ID("n")))
}

func TestSilentVoterStaysWithoutReplacement(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.stop("r2", time.Hour)
	g.Expect(x.reconcile(g)).To(BeZero())
}

func TestRetiringReplicaIsReplacedAsVoter(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.start("n", 5)
	x.reconcile(g)
	g.Expect(x.voters()).To(HaveLen(3))
	x.view.Retiring["r1"] = true
	x.reconcile(g)
	g.Expect(x.voters()).To(ConsistOf(consensus.ID("r0"), consensus.ID("r2"), consensus.ID("n")))
	g.Expect(x.view.Members).NotTo(HaveKey(consensus.ID("r1")))
}

// The load of a deployment of 45 replicas: as a member, each would receive every entry of
// the log, and the leader would spend its time on sending them.
func TestLargeDeploymentKeepsItsGroupSmall(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.view.Voters, x.view.MaxMembers = 5, 10
	for i := 3; i < 45; i++ {
		x.start(consensus.ID(fmt.Sprint("r", i)), i)
	}
	x.reconcile(g)
	g.Expect(x.view.Members).To(HaveLen(10))
	g.Expect(x.voters()).To(HaveLen(5))
	zones := map[string]int{}
	for _, m := range x.view.Members {
		zones[m.Zone]++
	}
	for z, n := range zones {
		g.Expect(n).To(BeNumerically("<=", 4), z)
	}
}

// With many replicas that start together, the votes must not wait until all have joined:
// three voters do not bear the two losses for which five are wanted.
func TestVotesComeBeforeFurtherLearners(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.view.Voters, x.view.MaxMembers = 5, 10
	for i := 3; i < 45; i++ {
		x.start(consensus.ID(fmt.Sprint("r", i)), i)
	}
	for range 4 {
		next, _, ok := x.view.NextChange()
		g.Expect(ok).To(BeTrue())
		x.view.Members = next
	}
	g.Expect(x.voters()).To(HaveLen(5))
}

// A member that has lost its disk is succeeded at its own address although the group is
// full, and one that is gone for good by a standby.
func TestFullGroupAdmitsSuccessorsAndThenStandbys(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	for i := 3; i < 12; i++ {
		x.start(consensus.ID(fmt.Sprint("r", i)), i)
	}
	x.reconcile(g)
	g.Expect(x.view.Members).To(HaveLen(6))
	standby := x.view.Live[len(x.view.Live)-1]
	g.Expect(x.view.Members).NotTo(HaveKey(standby.ID))
	x.stop("r1", 0)
	x.start("r1b", 1)
	x.reconcile(g)
	g.Expect(x.view.Members).To(And(HaveLen(6), HaveKey(consensus.ID("r1b")), Not(HaveKey(consensus.ID("r1")))))
	x.stop("r2", learnerDeadAfter+time.Second)
	x.reconcile(g)
	g.Expect(x.view.Members).To(And(HaveLen(6), Not(HaveKey(consensus.ID("r2")))))
	g.Expect(x.voters()).To(HaveLen(3))
}

// A voter that was frozen for seconds gives its vote to another member, and stays in the
// group, so that it catches up from the log and no standby needs a snapshot.
func TestSilentVoterStaysAsLearner(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	for i := 3; i < 12; i++ {
		x.start(consensus.ID(fmt.Sprint("r", i)), i)
	}
	x.reconcile(g)
	before := x.view.Members.IDs()
	x.stop("r2", voterDeadAfter+time.Millisecond)
	x.reconcile(g)
	g.Expect(x.view.Members.IDs()).To(Equal(before))
	g.Expect(x.view.Members.IsVoter("r2")).To(BeFalse())
	g.Expect(x.voters()).To(HaveLen(3))
}

// Replicas may be lost, added and wiped while the leader keeps running. Membership changes
// must come to an end and leave as many live voters as there are live replicas, up to the
// desired number.
func TestReconcileEndsWithLiveVoters(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		want := rapid.SampledFrom([]int{3, 5}).Draw(rt, "voters")
		x := newSimGroup(want)
		added := 0
		for range rapid.IntRange(1, 12).Draw(rt, "events") {
			machine := rapid.IntRange(1, 8).Draw(rt, "machine")
			address := fmt.Sprint("m", machine)
			for _, m := range x.view.Live {
				if m.Address == address {
					x.stop(m.ID, time.Minute)
				}
			}
			if rapid.Bool().Draw(rt, "back with an empty disk") {
				added++
				x.start(consensus.ID(fmt.Sprint("n", added)), machine)
			}
			if rapid.Bool().Draw(rt, "repair") {
				x.reconcile(g)
			}
		}
		x.reconcile(g)
		live := 0
		for _, id := range x.voters() {
			if x.view.live(id) {
				live++
			}
		}
		g.Expect(live).To(Equal(min(want, len(x.view.Live))))
	})
}

// Guards against a leader that cannot hear the members, and lets all standbys of a large
// deployment join in their place.
func TestLeaderThatHearsFewMembersLetsFewStandbysJoin(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	for i := 3; i < 30; i++ {
		x.start(consensus.ID(fmt.Sprint("r", i)), i)
	}
	x.reconcile(g)
	for range 10 {
		for id := range x.view.Members {
			if !x.view.Members.IsVoter(id) {
				x.view.SilentFor[id] = voterDeadAfter + time.Second
				delete(x.view.Match, id)
			}
		}
		x.reconcile(g)
	}
	g.Expect(len(x.view.Members)).To(BeNumerically("<=", x.view.MaxMembers+x.view.Voters))
}

// Guards against a group that is lost for good when the learner that is to replace a gone voter is
// lost too, during its promotion: the two are then half of the voters.
func TestLossOfLearnerDuringItsPromotionLeavesQuorum(t *testing.T) {
	g := NewWithT(t)
	x := newSimGroup(3)
	x.stop("r1", voterDeadAfter+time.Second)
	x.start("n", 5)
	x.view.Members["n"] = consensus.Member{ID: "n", Address: "m5"}
	next, reason, ok := x.view.NextChange()
	g.Expect(ok).To(BeTrue())
	running := 0
	for _, id := range []consensus.ID{"r0", "r2"} {
		if next.IsVoter(id) {
			running++
		}
	}
	g.Expect(running).To(BeNumerically(">=", next.Quorum()), reason)
}
