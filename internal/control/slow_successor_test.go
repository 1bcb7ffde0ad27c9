package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a lost vote that is not replaced in time under load, because the disk of the
// successor is slower than that of the other follower, and against a fourth vote meanwhile: with
// the lost one among four, each of the other three is needed.
func TestSlowSuccessorTakesLostVoteUnderLoad(t *testing.T) {
	for _, slow := range []time.Duration{25 * time.Millisecond, 400 * time.Millisecond} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(slow, "/", seed), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := newSmallDeployment(seed)
				s.perUpdate, s.compactAt = 10*time.Millisecond, 1000
				formed := func() bool { return s.votersNow() == smallMachines && s.acked > InitialIndex }
				g.Expect(s.runUntil(simWarmUp, formed)).To(BeTrue(), s.failure)
				for _, victim := range s.machines {
					s.run(s.now + time.Second)
					victim.slowSync = slow
					victim.wipe(simRestart)
					repaired := s.runUntil(s.now+simRestart+smallRepair, func() bool {
						if s.votersNow() > smallMachines {
							s.fail("a fourth voter before the lost one is removed")
						}
						l := s.leader()
						return l != nil && victim.disk != nil && l.node.Status().Members.IsVoter(victim.disk.id)
					})
					if *groupTrace {
						t.Log(strings.Join(s.trace, "\n"))
					}
					g.Expect(s.failure).To(BeEmpty())
					g.Expect(repaired).To(BeTrue(), "%s has no vote %v after its return", victim.address, smallRepair)
					victim.slowSync = 0
				}
			})
		}
	}
}
