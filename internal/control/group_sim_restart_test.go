package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Timing of the schedules in which nearly all processes are killed and start at once.
const (
	simKilled       = 30 * time.Millisecond            // longest time until a killed process runs again
	simEarlyLeader  = 400 * time.Millisecond           // longest time from the last start to a leader with a lease
	simEarlyElected = consensus.DefaultElectionTimeout // no leader earlier, unless all voters have restarted
)

// kill ends all processes but one and starts them again, within simKilled.
func (s *simDeployment) kill(except *simMachine) {
	for _, m := range s.machines {
		if m != except && m.process != nil {
			m.crash()
			s.after(s.between(0, simKilled), m.boot)
		}
	}
}

// testStableDeployments calls test with deployments of five or three voters and a leader that
// holds a lease.
func testStableDeployments(t *testing.T, test func(g *WithT, s *simDeployment, leader *simProcess)) {
	for seed := *groupFirst; seed < *groupFirst+*smallGroupSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSimDeployment(seed)
			if seed%2 == 0 {
				s = newSmallDeployment(seed)
			}
			formed := func() bool {
				l := s.leader()
				return l != nil && l.node.Status().Members.Voters() == s.voters && s.acked > InitialIndex
			}
			g.Expect(s.runUntil(simWarmUp, formed)).To(BeTrue(), s.failure)
			s.run(s.now + s.between(0, 2*time.Second))
			if s.leader() == nil {
				t.Skip("no leader holds a lease at this moment")
			}
			test(g, s, s.leader())
		})
	}
}

// Guards against the wait for an election timeout when no lease can be left: all replicas lose
// power, up to the tolerated number of voters lose their disks, and a leader acts shortly after
// the last voter, or the process that waits in its place, has started.
func TestLeaderActsShortlyAfterRestartOfAll(t *testing.T) {
	testStableDeployments(t, func(g *WithT, s *simDeployment, l *simProcess) {
		voters := slices.DeleteFunc(slices.Clone(s.machines), func(m *simMachine) bool {
			return m.disk == nil || !l.node.Status().Members.IsVoter(m.disk.id)
		})
		s.losePower(nil)
		for _, i := range s.rnd.Perm(len(voters))[:s.rnd.IntN(s.maxLost+1)] {
			s.logf("%s loses its disk", voters[i].address)
			voters[i].wipe(simRestart + s.between(0, simReadFolder))
		}
		allRun := func() bool {
			return !slices.ContainsFunc(voters, func(m *simMachine) bool { return m.process == nil && !m.joining })
		}
		g.Expect(s.runUntil(s.now+simRestart+simReadFolder, allRun)).To(BeTrue())
		g.Expect(s.runUntil(s.now+simEarlyLeader, func() bool { return s.leader() != nil })).To(BeTrue(), "no leader; %s", s.failure)
	})
}

// Guards against a leader beside the one that has not restarted. A leader that is cut off keeps
// its lease while all others are killed and run again at once.
func TestNoLeaderBesideOneThatDidNotRestart(t *testing.T) {
	testStableDeployments(t, func(g *WithT, s *simDeployment, l *simProcess) {
		s.side = map[*simMachine]int{l.machine: 1}
		killedAt := s.now
		s.kill(l.machine)
		led := func() bool { return s.leader() != nil && s.leader() != l }
		g.Expect(s.runUntil(killedAt+simEarlyElected, led)).To(BeFalse(), "another leader")
		g.Expect(s.failure).To(BeEmpty())
		g.Expect(s.runUntil(killedAt+simReadable, led)).To(BeTrue(), "no leader after the lease is over; %s", s.failure)
	})
}

// Guards against an early leader while a voter stays away: it may hold a lease elsewhere.
func TestElectionTimeoutHoldsWhileVoterStaysAway(t *testing.T) {
	testStableDeployments(t, func(g *WithT, s *simDeployment, l *simProcess) {
		away := l.machine
		for _, m := range s.machines {
			if s.rnd.IntN(2) == 0 && m.disk != nil && l.node.Status().Members.IsVoter(m.disk.id) {
				away = m
			}
		}
		killedAt := s.now
		s.kill(away)
		away.crash()
		leads := func() bool { return s.leader() != nil }
		g.Expect(s.runUntil(killedAt+simEarlyElected, leads)).To(BeFalse(), "an early leader")
		g.Expect(s.runUntil(killedAt+simReadable, leads)).To(BeTrue(), "no leader; %s", s.failure)
	})
}
