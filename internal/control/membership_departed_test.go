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

const (
	departedMaxChanges = 100
	departedMaxGone    = 15 // learners
	departedMaxOutside = 12
)

// runningMembers returns the number of members that run, and how many of them are voters.
func (g *simGroup) runningMembers(members consensus.Membership) (all, voters int) {
	for _, m := range g.view.Live {
		if _, ok := members[m.ID]; ok {
			all++
		}
		if members.IsVoter(m.ID) {
			voters++
		}
	}
	return all, voters
}

// catchUp gives all committed entries to the members that run. It returns false if they hold
// them already.
func (g *simGroup) catchUp(holds map[consensus.ID]bool) bool {
	caughtUp := false
	for _, m := range g.view.Live {
		if _, ok := g.view.Members[m.ID]; ok && !holds[m.ID] {
			g.view.Match[m.ID], holds[m.ID], caughtUp = g.view.Commit, true, true
		}
	}
	return caughtUp
}

// holders returns how many voters hold all committed entries, by what they hold or held.
func holders(members consensus.Membership, holds map[consensus.ID]bool) int {
	n := 0
	for id, m := range members {
		if m.Voter && holds[id] {
			n++
		}
	}
	return n
}

// drawDepartedGroup draws a group that its leader r0 leads with a quorum, from which members are
// gone, and running replicas outside of it. It returns who holds all committed entries.
func drawDepartedGroup(rt *rapid.T, want int) (*simGroup, map[consensus.ID]bool) {
	x, holds := newSimGroup(1), map[consensus.ID]bool{"r0": true}
	x.view.Voters, x.view.MaxMembers = want, membersPerVoter*want
	machine := 0
	next := func(prefix string) consensus.Member {
		machine += rapid.SampledFrom([]int{1, 3}).Draw(rt, "to the next machine")
		return x.member(consensus.ID(fmt.Sprint(prefix, machine)), machine)
	}
	join := func(m consensus.Member, voter, runs, hold bool) {
		m.Voter = voter
		x.view.Members[m.ID] = m
		x.start(m.ID, machine)
		if hold {
			holds[m.ID] = true
		} else {
			x.view.Match[m.ID] = 0
		}
		if !runs {
			delete(x.view.Match, m.ID)
			x.stop(m.ID, rapid.SampledFrom([]time.Duration{voterDeadAfter + time.Millisecond, learnerDeadAfter - time.Second}).Draw(rt, "silent"))
		}
	}
	voters := rapid.IntRange(1, want).Draw(rt, "voters")
	quorum := voters/2 + 1
	run := rapid.IntRange(quorum, voters).Draw(rt, "voters that run")
	behind := rapid.IntRange(0, voters-quorum).Draw(rt, "voters that run and lack entries")
	for i := 1; i < voters; i++ {
		join(next("v"), true, i < run, i > behind)
	}
	for range rapid.IntRange(0, departedMaxGone).Draw(rt, "learners that are gone") {
		join(next(rapid.SampledFrom([]string{"g", "z"}).Draw(rt, "id begins with")), false, false, true)
	}
	for range rapid.IntRange(0, membersPerVoter*want-run).Draw(rt, "learners that run") {
		join(next("l"), false, true, rapid.Bool().Draw(rt, "caught up"))
	}
	for range rapid.IntRange(1, departedMaxOutside).Draw(rt, "outside") {
		m := next("n")
		x.view.Live = append(x.view.Live, m)
		x.view.SilentFor[m.ID] = 0
	}
	return x, holds
}

// Guards against members that are gone which take the room of a running replica for longer than
// voterDeadAfter, so that the group does not get back its votes before the next machine goes.
// No time passes here. Learners that run catch up when nothing else is left to do.
func TestRunningReplicaIsNotKeptOutByMembersThatAreGone(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		want := rapid.SampledFrom([]int{3, 5}).Draw(rt, "wanted voters")
		x, holds := drawDepartedGroup(rt, want)
		for changes := 0; ; changes++ {
			g.Expect(changes).To(BeNumerically("<", departedMaxChanges))
			before, votersBefore := x.runningMembers(x.view.Members)
			next, reason, ok := x.view.NextChange()
			if !ok {
				if x.catchUp(holds) {
					continue
				}
				break
			}
			after, votersAfter := x.runningMembers(next)
			g.Expect(x.view.Members.ChangesAtMostOneVoter(next)).To(BeTrue(), reason)
			g.Expect(next.IsVoter("r0")).To(BeTrue(), "the leader keeps its vote: %s", reason)
			g.Expect(after).To(And(BeNumerically(">=", before), BeNumerically("<=", x.view.MaxMembers)), "members that run: %s", reason)
			g.Expect(votersAfter).To(BeNumerically(">=", min(votersBefore, want)), "voters that run: %s", reason)
			g.Expect(holders(next, holds)).To(BeNumerically(">=", next.Quorum()), "voters that hold all committed entries: %s", reason)
			x.view.Members = next
		}
		_, voters := x.runningMembers(x.view.Members)
		g.Expect(voters).To(Equal(min(want, len(x.view.Live))), "voters that run: %v", x.view.Members)
		silent := 0
		for id, m := range x.view.Members {
			if !m.Voter && !x.view.live(id) {
				silent++
			}
		}
		g.Expect(silent).To(BeNumerically("<=", want), "learners that are gone: %v", x.view.Members)
	})
}
