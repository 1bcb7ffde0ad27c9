package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// earlyUnits is less than the shortest election timeout on the fastest simulated clock. An
// election takes five messages in turn if the last voter to start lacks entries, up to two units
// each.
const earlyUnits = 3 * int(simElection/clockTicksPerUnit) / 4

// newSimClusterOfProcesses returns a cluster of which every replica is a new process.
func newSimClusterOfProcesses(seed uint64, voters, learners int) *simCluster {
	s := newSimCluster(seed, voters, learners)
	s.newProcesses = true
	s.restartAllBut(nil)
	return s
}

// restartAllBut restarts all replicas except one at once.
func (s *simCluster) restartAllBut(except *simReplica) {
	for _, id := range s.order {
		if r := s.replicas[id]; r != except {
			s.crash(r)
			s.restart(r)
		}
	}
}

// restartAllWithoutDisks restarts all replicas at once, and up to the tolerated number of voters
// without their disks. A process that waits to join runs at the address of each of them. It does
// nothing while there is no leader.
func (s *simCluster) restartAllWithoutDisks(f *rand.Rand) {
	l := s.leader()
	if l == nil {
		return
	}
	newest, committed := l.node.members, l.node.MembersAt(l.node.commit)
	for _, i := range f.Perm(len(s.order)) {
		r := s.replicas[s.order[i]]
		if s.toleratesLoss(newest, r) && s.toleratesLoss(committed, r) && f.IntN(4) > 0 {
			s.wipe(r)
			r.waitingRun, r.leaseEnd = 1+f.Uint32N(1e9), 0 // as at the start of any new process
		}
	}
	s.restartAllBut(nil)
}

// toleratesLoss reports whether voter r of m may lose its disk besides those that have.
func (s *simCluster) toleratesLoss(m Membership, r *simReplica) bool {
	lost := 0
	for id, x := range m {
		if x.Voter && s.replicas[id].wiped {
			lost++
		}
	}
	return m.IsVoter(r.id) && !r.wiped && lost < (m.Voters()-1)/2
}

// endWaiting lets the processes that wait to join do so if there is a leader. Otherwise, some
// of them start again.
func (s *simCluster) endWaiting() {
	for _, id := range s.order {
		r := s.replicas[id]
		switch {
		case r.waitingRun == 0:
		case s.leader() != nil:
			r.waitingRun = 0
			s.addEmptyReplica(r.address)
		case s.rnd.IntN(4) == 0:
			r.waitingRun++
		}
	}
}

// runUntilLeader runs until a replica other than except leads. It returns the units that this
// took, or -1 if it took more than failoverUnits.
func (s *simCluster) runUntilLeader(except *simReplica) int {
	for i := range failoverUnits {
		if l := s.leader(); l != nil && l != except {
			return i
		}
		s.step()
	}
	return -1
}

// Guards against a leader that acts beside the one from before the restart, and against votes
// that are lost in an early election. The schedules are those of the other random test, with
// restarts of all replicas, also without some of the disks, among the faults.
func TestSafetyUnderRandomFaultsAndRestartsOfAll(t *testing.T) {
	setRapidChecks(t, "500")
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")*shards + shard
				s := newSimClusterOfProcesses(seed, 3, 2)
				for _, x := range rapid.SliceOfN(rapid.Uint64(), 15, 30).Draw(rt, "faults") {
					f := rand.New(rand.NewPCG(seed, x))
					s.run(f.IntN(15))
					r, fault, arg := s.replicas[s.order[f.IntN(len(s.order))]], faults[f.IntN(len(faults))], f.IntN(1000)
					switch f.IntN(7) {
					case 0:
						s.restartAllBut(nil)
					case 1:
						s.restartAllBut(r)
					case 2:
						s.restartAllWithoutDisks(f)
					default:
						rt.Logf("%.0f: %s %s %d", s.realTime, fault.name, r.id, arg)
						fault.do(s, r, arg)
					}
					NewWithT(rt).Expect(s.failure).To(BeEmpty())
				}
				s.endAllFaults()
				NewWithT(rt).Expect(s.runUntilLeader(nil)).NotTo(Equal(-1), "no leader after the faults ended: %v", s)
				s.checkLogMatching()
				NewWithT(rt).Expect(s.failure).To(BeEmpty())
			})
		})
	}
}

// Guards against waiting for leases of processes that no longer run, also of those that have
// lost their disks.
func TestRestartOfAllNeedsNoElectionTimeout(t *testing.T) {
	setRapidChecks(t, "500")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := newSimClusterOfProcesses(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{1, 3, 5}).Draw(rt, "voters"), 1)
		g.Expect(s.runUntilLeader(nil)).To(BeNumerically("<", earlyUnits))
		s.run(rapid.IntRange(0, 50).Draw(rt, "time"))
		s.inFlight = nil // a message of the last leader that arrives late would count as heard
		s.restartAllWithoutDisks(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(rt, "lost"))))
		s.restartAllBut(nil)
		g.Expect(s.runUntilLeader(nil)).To(BeNumerically("<", earlyUnits))
		g.Expect(s.failure).To(BeEmpty())
	})
}

// Guards against a second leader while a voter that did not restart holds a lease or may do so:
// it is cut off, frozen, loses messages in one direction, or runs as before.
func TestVoterThatDidNotRestartKeepsItsLease(t *testing.T) {
	setRapidChecks(t, "1000")
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		s := newSimClusterOfProcesses(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "voters"), 0)
		g.Expect(s.runUntilLeader(nil)).NotTo(Equal(-1))
		s.run(rapid.IntRange(0, 50).Draw(rt, "time"))
		kept := s.replicas[rapid.SampledFrom(s.order).Draw(rt, "kept")]
		if l := s.leader(); l != nil && rapid.Bool().Draw(rt, "leader") {
			kept = l
		}
		if kept.node == nil {
			return
		}
		faults[rapid.IntRange(2, 5).Draw(rt, "fault")].do(s, kept, 0)
		s.restartAllBut(kept)
		restartedAt := s.realTime
		for s.realTime < restartedAt+float64(simElection/clockTicksPerUnit) {
			s.step()
			for _, r := range s.replicas {
				g.Expect(r == kept || r.node.role != Leader || r.node.now >= r.node.restart.startedAt+simElection).To(BeTrue(), "%s leads early", r.id)
			}
		}
		g.Expect(s.failure).To(BeEmpty())
	})
}

// askedAfterRestart returns voter a, which has told the candidate c that it has restarted, and
// the vote request that follows.
func askedAfterRestart(restarted bool) (*Node, Message) {
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	n.restart.own = restarted
	n.Step(n.now, Message{Kind: MsgRestarted, From: "c", To: "a", Incarnation: 7})
	told := flushReady(n)[0]
	return n, Message{
		Kind: MsgVote, From: "c", To: "a", Term: 2, Index: 1, LogTerm: 1, SentAt: 5,
		Incarnation: 7, EchoIncarnation: told.Incarnation, Restarted: true,
	}
}

// Guards against a vote that is given early by another run of the process than the one that has
// told the candidate of its restart, or after it has heard a leader.
func TestEarlyVoteNeedsSameRunWithoutLeader(t *testing.T) {
	vote := func(n *Node, m Message) Message {
		n.Step(n.now, m)
		return flushReady(n)[0]
	}
	g := NewWithT(t)
	n, m := askedAfterRestart(true)
	r := vote(n, m)
	g.Expect(r.Reject).To(BeFalse())
	g.Expect([]any{r.Restarted, r.SentAt, r.Incarnation, r.EchoIncarnation}).To(Equal([]any{true, Time(5), n.incarnation, uint32(7)}))

	n, m = askedAfterRestart(false)
	g.Expect(vote(n, m).Reject).To(BeTrue(), "not a new process")
	n, m = askedAfterRestart(true)
	m.EchoIncarnation++
	g.Expect(vote(n, m).Reject).To(BeTrue(), "the request answers another run")
	n, m = askedAfterRestart(true)
	m.Restarted = false
	g.Expect(vote(n, m).Reject).To(BeTrue(), "the candidate is of an older build")
	n, m = askedAfterRestart(true)
	n.Step(n.now, Message{Kind: MsgAppend, From: "b", To: "a", Term: 1, Index: 1, LogTerm: 1})
	flushReady(n)
	r = vote(n, m)
	g.Expect([]bool{r.Reject, r.Restarted}).To(Equal([]bool{true, false}), "it has heard a leader")
}

// Guards against an early election that counts an answer from before its vote requests, or one
// of another run: the voter may have led in between.
func TestEarlyElectionNeedsEveryVoterTwice(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	n.restart.own = true
	answer := func(id ID, run uint32) {
		n.Step(n.now, Message{Kind: MsgRestartedReply, From: id, To: "a", Index: 1, LogTerm: 1, Incarnation: run, EchoIncarnation: n.incarnation, Restarted: true})
	}
	answer("b", 1)
	g.Expect(n.role).To(Equal(Follower), "c has not answered")
	answer("c", 2)
	g.Expect(n.role).To(Equal(Candidate))
	reply := func(id ID, change func(*Message)) {
		m := Message{Kind: MsgVoteReply, From: id, To: "a", Term: n.term, SentAt: n.restart.votesAt, Incarnation: 2, EchoIncarnation: n.incarnation, Restarted: true}
		change(&m)
		n.Step(n.now, m)
	}
	reply("b", func(m *Message) { m.Incarnation = 1 })
	reply("c", func(m *Message) { m.Incarnation = 3 })
	reply("c", func(m *Message) { m.Restarted = false })
	reply("c", func(m *Message) { m.SentAt-- })
	reply("c", func(m *Message) { m.EchoIncarnation++ })
	g.Expect(n.role).To(Equal(Candidate), "two votes, but c has not confirmed")
	reply("c", func(m *Message) { m.Reject = true })
	g.Expect(n.role).To(Equal(Leader), "c has confirmed and votes for another")
}

// Guards against an early election that doesn't ask the leader that removed itself from the
// newest membership, which isn't known to be committed.
func TestEarlyElectionAsksVoterWhoseRemovalIsNotCommitted(t *testing.T) {
	g := NewWithT(t)
	next := Membership{"a": {ID: "a", Voter: true}, "b": {ID: "b", Voter: true}, "c": {ID: "c"}}
	e := Entry{Index: 2, Term: 1, Kind: EntryMembership, Data: next.Encode()}
	g.Expect(newRestartedVoter(HardState{Term: 1, Commit: 1}, e).restartVoters()).To(Equal([]ID{"a", "b", "c"}))
	g.Expect(newRestartedVoter(HardState{Term: 1, Commit: 2}, e).restartVoters()).To(Equal([]ID{"a", "b"}))
}

// Guards against an early election that counts a voter as absent although its process may run:
// the answers are of two runs, answer another vote request, or come from one of two possible
// addresses. Guards also against one that counts an absent voter as a vote.
func TestAbsentVoterIsCountedOnlyWithTwoAnswersOfOneRun(t *testing.T) {
	g := NewWithT(t)
	const run = 9
	// ask returns voter a after b has answered its question, and a process at the address of c.
	ask := func(hard HardState, entries ...Entry) (n *Node, requests []Message) {
		n = newRestartedVoter(hard, entries...)
		n.restart.own = true
		n.Step(n.now, Message{Kind: MsgRestartedReply, From: "b", To: "a", Index: 1, LogTerm: 1, Incarnation: 2, EchoIncarnation: n.incarnation, Restarted: true})
		reply, ok := AbsentReply(run, Message{Kind: MsgRestarted, From: "a", To: "c", Incarnation: n.incarnation})
		g.Expect(ok).To(BeTrue())
		n.Step(n.now, reply)
		return n, flushReady(n)
	}
	n, requests := ask(HardState{Term: 1, Commit: 1})
	g.Expect(requests).To(HaveLen(2))
	answer := func(change func(*Message)) {
		m, ok := AbsentReply(run, requests[1])
		g.Expect(ok).To(BeTrue())
		change(&m)
		n.Step(n.now, m)
	}
	fromB := Message{Kind: MsgVoteReply, From: "b", To: "a", Term: n.term, SentAt: n.restart.votesAt, Incarnation: 2, EchoIncarnation: n.incarnation, Restarted: true, Reject: true}
	n.Step(n.now, fromB)
	answer(func(*Message) {})
	g.Expect(n.role).To(Equal(Candidate), "an absent voter has no vote")
	n.restart.confirmed = map[ID]bool{"a": true}
	fromB.Reject = false
	n.Step(n.now, fromB)
	answer(func(m *Message) { m.Incarnation++ })
	answer(func(m *Message) { m.SentAt-- })
	answer(func(m *Message) { m.EchoIncarnation++ })
	answer(func(m *Message) { m.From = "d" })
	answer(func(m *Message) { m.Absent = false })
	answer(func(m *Message) { m.Absent, m.Restarted = false, true })
	g.Expect(n.role).To(Equal(Candidate), "c has not confirmed")
	answer(func(*Message) {})
	g.Expect(n.role).To(Equal(Leader))
	g.Expect(n.Status().AbsentVoters).To(Equal([]ID{"c"}))

	moved := Membership{"a": {ID: "a", Voter: true}, "b": {ID: "b", Voter: true}, "c": {ID: "c", Address: "new", Voter: true}}
	e := Entry{Index: 2, Term: 1, Kind: EntryMembership, Data: moved.Encode()}
	n, _ = ask(HardState{Term: 1, Commit: 1}, e)
	g.Expect(n.role).To(Equal(Follower), "c may still run at its old address")
	n, _ = ask(HardState{Term: 1, Commit: 2}, e)
	g.Expect(n.role).To(Equal(Candidate))
	_, ok := AbsentReply(run, Message{Kind: MsgVote, From: "a", To: "c"})
	g.Expect(ok).To(BeFalse(), "the vote request of an ordinary election")
}

// Guards against elections that fail one after the other, and raise the term each time, when too
// few voters have kept their disks.
func TestNoEarlyElectionWithoutQuorumOfDisks(t *testing.T) {
	g := NewWithT(t)
	n := newRestartedVoter(HardState{Term: 1, Commit: 1})
	n.restart.own = true
	for i, id := range []ID{"b", "c"} {
		reply, _ := AbsentReply(uint32(i), Message{Kind: MsgRestarted, From: "a", To: id, Incarnation: n.incarnation})
		n.Step(n.now, reply)
	}
	g.Expect([]any{n.role, n.term}).To(Equal([]any{Follower, uint64(1)}))
}
