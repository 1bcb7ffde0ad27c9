package control

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var smallGroupSeeds = flag.Uint64("group.small", 20, "number of seeds of the schedules with three machines")

// Shape and timing of a group of three voters without a spare replica.
const (
	smallMachines = 3
	smallMaxSync  = 5 * time.Millisecond
	// smallRepair is how long after its return a machine counts as lost.
	smallRepair      = 4300 * time.Millisecond
	smallMaxTransfer = 500 * time.Millisecond // a state of a few megabytes
	smallExchange    = 20 * time.Second       // until a replacement has a vote
)

func newSmallDeployment(seed uint64) *simDeployment {
	return newSpareless(seed, smallMachines)
}

// newSpareless returns a deployment in which every machine has a vote.
func newSpareless(seed uint64, machines int) *simDeployment {
	s := newSimDeployment(seed)
	s.events, s.machines = nil, nil
	s.voters, s.maxLost, s.repair, s.maxSync = machines, (machines-1)/2, smallRepair, smallMaxSync
	s.transfer = s.between(smallMaxTransfer/5, smallMaxTransfer)
	s.compactAt = 5 + uint64(s.between(s.transfer, 4*s.transfer)/s.perUpdate)
	s.form(machines)
	return s
}

// votersNow returns the number of voters in the newest membership of the leader.
func (s *simDeployment) votersNow() int {
	if l := s.leader(); l != nil {
		return l.node.Status().Members.Voters()
	}
	return 0
}

// playExchange replaces machines by others at new addresses, lets all machines lose power
// while four voters stand of which one is gone, and plays the final fault as soon as the
// bound allows another loss.
func (s *simDeployment) playExchange() {
	formed := func() bool { return s.votersNow() == smallMachines && s.acked > InitialIndex }
	if !s.runUntil(simWarmUp, formed) {
		s.fail("no group within %v", simWarmUp)
		return
	}
	for range 1 + s.rnd.IntN(3) {
		s.run(s.now + s.between(0, 2*time.Second))
		if m := s.victims(1)[0]; s.mayLeave(m) {
			s.replace(m)
		} else {
			s.wipe([]*simMachine{m})
		}
		if s.rnd.IntN(3) == 0 {
			s.run(s.now + s.between(0, simRestart))
			s.split(1)
		}
		s.runUntil(s.now+smallExchange, func() bool { return s.votersNow() > smallMachines })
		for range 1 + s.rnd.IntN(2) {
			s.run(s.now + s.between(0, 300*time.Millisecond))
			s.logf("all lose power")
			for _, l := range s.losses {
				if !s.repaired(l) {
					l.back = 0 // it counts from the next return
				}
			}
			s.losePower(nil)
			s.run(s.now + s.between(0, 3*time.Second))
		}
		if s.rnd.IntN(2) == 0 && s.side == nil {
			s.split(1)
		}
		if !s.runUntil(s.now+simLongestRun/3, func() bool { return s.mayLose(1) && s.side == nil }) {
			s.fail("a machine did not come back")
			return
		}
	}
	s.finalFault()
}

// Three voters have no spare. Guards against a vote of a machine that is gone which still
// counts when the next disk may be lost.
func TestExchangeOfVoteEndsBeforeNextLossOnThreeVoters(t *testing.T) {
	for i := range *smallGroupSeeds {
		t.Run(fmt.Sprint(*groupFirst+i), func(t *testing.T) {
			t.Parallel()
			s := newSmallDeployment(*groupFirst + i)
			s.playExchange()
			if *groupTrace && s.failure != "" {
				t.Log(strings.Join(s.trace, "\n"))
			}
			NewWithT(t).Expect(s.failure).To(BeEmpty())
		})
	}
}
