package control

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

var thawMargin = flag.Duration("group.thaw", simThawMargin, "time from the end of a freeze to the next lost disk")

// Timing of the schedules with a frozen replica.
const (
	// simThawMargin is the time that the group needs from the end of a freeze until a disk that
	// was lost during the freeze no longer counts: the election of a replica that waits for a
	// leader which may live and for the answers of the others, the new identity of the
	// replica without a disk, its listing in the gossip, its two membership changes, and its state.
	simThawMargin = 4*consensus.DefaultHeartbeatInterval + joinRetryInterval + simProbe + 3*reconcileInterval + smallMaxTransfer
	// simFrozenBefore is the longest time from the beginning of a freeze to the lost disk.
	simFrozenBefore = 2500 * time.Millisecond
	// simSocketRead is the longest time until a thawed process has read what waited for it.
	simSocketRead = 5 * time.Millisecond
)

// freeze stops the process. Messages to it wait.
func (m *simMachine) freeze() {
	m.s.logf("%s freezes", m.address)
	m.process.frozen = true
	m.s.after(m.s.between(simListedDead/3, simListedDead), func() {
		if p := m.process; p != nil && p.frozen {
			m.s.unlist(m, m.s.now)
		}
	})
}

// thaw lets the process run again. It ticks before or after it reads what waited.
func (m *simMachine) thaw() {
	p := m.process
	m.s.logf("%s thaws", m.address)
	waited := p.inbox
	p.frozen, p.inbox = false, nil
	m.s.list(p)
	if p.synced != nil {
		p.synced()
	}
	if m.s.rnd.IntN(2) == 0 {
		p.inbox = append(waited, p.inbox...)
	} else {
		m.s.after(m.s.between(0, simSocketRead), func() {
			p.enqueueIfRuns(func() {
				for _, f := range waited {
					f()
				}
			})
		})
	}
	p.enqueue(func() {})
}

// playFreeze freezes a replica, lets another one lose its disk during the freeze, and a further
// one as soon as that is allowed and the end of the freeze is thawMargin ago.
func (s *simDeployment) playFreeze() {
	s.losesUnsent = true
	formed := func() bool { return s.votersNow() == smallMachines && s.acked > InitialIndex }
	if !s.runUntil(simWarmUp, formed) {
		s.fail("no group within %v", simWarmUp)
		return
	}
	s.run(s.now + s.between(0, 2*time.Second))
	l := s.leader()
	if l == nil {
		return
	}
	lost := l.machine
	if s.rnd.IntN(4) == 0 {
		lost = s.machines[s.rnd.IntN(smallMachines)]
	}
	others := slices.DeleteFunc(slices.Clone(s.machines), func(m *simMachine) bool { return m == lost })
	frozen := others[s.rnd.IntN(len(others))]
	frozen.freeze()
	s.run(s.now + s.between(0, simFrozenBefore))
	struck := false
	s.onPropose = func() {
		s.after(s.between(0, 10*time.Millisecond), func() {
			s.wipe([]*simMachine{lost})
			struck = true
		})
	}
	if !s.runUntil(s.now+2*simReadable, func() bool { return struck }) {
		s.fail("no proposal")
		return
	}
	s.run(s.now + s.between(0, s.repair+simRestart-*thawMargin))
	frozen.thaw()
	thawed := s.now
	if !s.runUntil(s.now+simLongestRun/3, func() bool { return s.mayLose(1) && s.now >= thawed+*thawMargin }) {
		s.fail("a machine did not come back")
		return
	}
	s.wipe([]*simMachine{others[s.rnd.IntN(len(others))]})
	if !s.runUntil(s.now+2*simRestart+simReadable, s.readable) {
		s.fail("what was acknowledged can't be read %v after the machine is back", simReadable)
		return
	}
	if !s.runUntil(s.now+simLongestRun/3, func() bool { return s.mayLose(1) && s.votersNow() == smallMachines }) {
		s.fail("the lost voter was not replaced")
		return
	}
	s.finalFault()
}

// freezeFailedSeeds are seeds that failed with an earlier fault.
var freezeFailedSeeds = []uint64{80, 96, 138, 143, 228, 263, 266, 721}

// Three voters have no spare. Guards against a lost vote that is not replaced before the next
// disk may be lost, because a replica that was frozen meanwhile takes heartbeats that waited for
// a sign of a living leader, and no other one can be elected.
func TestLostVoteIsReplacedAfterFreezeOfAnotherVoter(t *testing.T) {
	seeds := slices.Clone(freezeFailedSeeds)
	for i := range *smallGroupSeeds {
		seeds = append(seeds, *groupFirst+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSmallDeployment(seed)
			s.playFreeze()
			if *groupTrace && s.failure != "" {
				t.Log(strings.Join(s.trace, "\n"))
			}
			NewWithT(t).Expect(s.failure).To(BeEmpty())
		})
	}
}
