package consensus

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A learner that stored a snapshot which the leader has compacted past must get the newer
// one at once: until then it lacks committed entries and can't replace a lost voter.
func TestSupersededSnapshotIsReplacedWithoutWaiting(t *testing.T) {
	g := NewWithT(t)
	l := newLeaderWithEntries(g, 10, 10)
	drainReady(l)
	now := l.now
	tick := func() int {
		now += DefaultHeartbeatInterval
		last := l.Status().LastIndex
		l.Step(now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: last, SentAt: now})
		// b lacks what the leader has compacted, and answers each heartbeat.
		l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 1, Index: l.progress["b"].next - 1, SentAt: now})
		l.Tick(now)
		return countSnapshots(drainReady(l), "b")
	}
	compact := func() uint64 {
		last := l.Status().LastIndex
		l.Compact(SnapshotMeta{Index: last, Term: l.Status().Term, Members: l.members})
		return last
	}
	last := compact()
	g.Expect(tick()).To(Equal(1))
	l.SnapshotStarted("b")
	// The transfer takes 3 s; meanwhile the leader compacts its log.
	for i := range 15 {
		if i == 5 {
			_, _, err := l.Propose(now, make([]byte, 10))
			g.Expect(err).NotTo(HaveOccurred())
			tick()
			compact()
		}
		tick() // the caller discards snapshots while one is being sent
	}
	l.SnapshotSent(now, "b", true)
	l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Index: last, SentAt: now})
	resent := countSnapshots(drainReady(l), "b")
	waited := time.Duration(0)
	for resent == 0 && waited < 10*time.Second {
		waited += DefaultHeartbeatInterval
		resent = tick()
	}
	g.Expect(waited).To(BeNumerically("<=", DefaultHeartbeatInterval))
}

// A snapshot that the receiver rejects, as one that was sent in an earlier term, must be sent
// again without waiting for the retry interval.
func TestRejectedSnapshotIsSentAgainWithoutWaiting(t *testing.T) {
	g := NewWithT(t)
	l := newLeaderWithEntries(g, 10, 10)
	drainReady(l)
	now := l.now
	last := l.Status().LastIndex
	tick := func() int {
		now += DefaultHeartbeatInterval
		l.Step(now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: last, SentAt: now})
		// b lacks what the leader has compacted, and answers each heartbeat.
		l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 1, Index: l.progress["b"].next - 1, SentAt: now})
		l.Tick(now)
		return countSnapshots(drainReady(l), "b")
	}
	l.Compact(SnapshotMeta{Index: last, Term: l.Status().Term, Members: l.members})
	g.Expect(tick()).To(Equal(1))
	l.SnapshotStarted("b")
	for range 15 {
		tick()
	}
	l.SnapshotSent(now, "b", true)
	// What acceptLeader answers to a snapshot of an earlier term.
	l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 1})
	waited, resent := time.Duration(0), countSnapshots(drainReady(l), "b")
	for resent == 0 && waited < 10*time.Second {
		waited += DefaultHeartbeatInterval
		resent = tick()
	}
	g.Expect(waited).To(BeNumerically("<=", DefaultHeartbeatInterval))
}

// A learner that stores every entry shortly after the voters must become a voter while
// commands go on being committed.
func TestLearnerBecomesVoterUnderSteadyCommits(t *testing.T) {
	g := NewWithT(t)
	l := newLeaderWithEntries(g, 1, 10)
	drainReady(l)
	now := l.now
	ack := func(id ID, index uint64) {
		l.Step(now, Message{Kind: MsgAppendReply, From: id, To: "a", Term: l.Status().Term, Index: index, SentAt: now})
		drainReady(l)
	}
	ack("b", l.Status().LastIndex)
	next := l.Status().Members
	next["d"] = Member{ID: "d", Address: "d"}
	_, _, err := l.ProposeMembers(now, next)
	g.Expect(err).NotTo(HaveOccurred())
	drainReady(l)
	ack("b", l.Status().LastIndex)
	ack("d", l.Status().LastIndex)
	promoted := next.Clone()
	promoted["d"] = Member{ID: "d", Address: "d", Voter: true}
	err = nil
	for range 1000 { // 10 s with a command each 10 ms; d acknowledges each 10 ms after b and c
		now += 10 * time.Millisecond
		stored := l.Status().LastIndex
		_, _, perr := l.Propose(now, make([]byte, 10))
		g.Expect(perr).NotTo(HaveOccurred())
		drainReady(l)
		ack("b", stored+1)
		ack("c", stored+1)
		ack("d", stored)
		l.Tick(now)
		if _, _, err = l.ProposeMembers(now, promoted); err == nil {
			break
		}
	}
	g.Expect(err).NotTo(HaveOccurred())
}
