package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newLeaderWithEntries returns the leader of three voters. Its log holds n entries of
// size bytes that no follower has.
func newLeaderWithEntries(g Gomega, n, size int) *Node {
	members := Membership{}
	for _, id := range []ID{"a", "b", "c"} {
		members[id] = Member{ID: id, Address: string(id), Voter: true}
	}
	l := New(Config{ID: "a", Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members}, Rand: rand.New(rand.NewPCG(1, 2))})
	now := Time(0)
	for l.Status().Role != Candidate && now < 10*time.Second {
		now += 50 * time.Millisecond
		l.Tick(now)
		for _, m := range drainReady(l) {
			if m.Kind == MsgPreVote {
				l.Step(now, Message{Kind: MsgPreVoteReply, From: m.To, To: "a", Term: m.Term})
			}
		}
	}
	l.Step(now, Message{Kind: MsgVoteReply, From: "b", To: "a", Term: l.Status().Term})
	g.Expect(l.Status().Role).To(Equal(Leader))
	drainReady(l)
	for range n {
		_, _, err := l.Propose(now, make([]byte, size))
		g.Expect(err).NotTo(HaveOccurred())
	}
	return l
}

// drainReady processes all outstanding work of n and returns the messages to send.
func drainReady(n *Node) []Message {
	var out []Message
	for {
		r := n.Ready()
		if r.Empty() {
			return out
		}
		out = append(out, r.Messages...)
		n.Advance(r)
	}
}

// countAppends returns the number of appends to id in ms and the size of their data.
func countAppends(ms []Message, id ID) (appends, bytes int) {
	for _, m := range ms {
		if m.To != id || m.Kind != MsgAppend {
			continue
		}
		appends++
		for _, e := range m.Entries {
			bytes += len(e.Data)
		}
	}
	return appends, bytes
}

// A follower that missed several appends rejects each of them. If the leader answered
// every rejection with the whole backlog, the follower would be overloaded and would
// never catch up.
func TestRepeatedRejectionsResendBoundedData(t *testing.T) {
	g := NewWithT(t)
	l := newLeaderWithEntries(g, 200, 10_000)
	drainReady(l)
	now := l.now
	sum, appends := 0, 0
	for range 20 {
		l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 1, Index: l.Status().LastIndex, SentAt: now})
		k, n := countAppends(drainReady(l), "b")
		appends += k
		sum += n
	}
	g.Expect(appends).To(BeNumerically("<=", 2))
	g.Expect(sum).To(BeNumerically("<=", 2*DefaultMaxAppendBytes+10_000))
}

func TestInFlightDataIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := newLeaderWithEntries(g, 2000, 10_000)
	sum := 0
	for range 100 {
		_, n := countAppends(drainReady(l), "b")
		sum += n
		l.Tick(l.now + DefaultHeartbeatInterval/4)
		l.Step(l.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: 1, SentAt: l.now})
	}
	g.Expect(l.Status().Role).To(Equal(Leader))
	g.Expect(sum).To(BeNumerically("<=", DefaultMaxInFlightBytes+DefaultMaxAppendBytes+10_000))
}

// A large snapshot takes longer than a heartbeat interval to arrive. The leader must not
// send it again meanwhile.
func TestSnapshotInFlightIsNotResent(t *testing.T) {
	g := NewWithT(t)
	l := newLeaderWithEntries(g, 1, 10)
	drainReady(l)
	last := l.Status().LastIndex
	l.Step(l.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: last, SentAt: l.now})
	drainReady(l)
	term, _ := l.TermAt(last)
	l.Compact(SnapshotMeta{Index: last, Term: term, Members: l.Status().Members})
	snapshots := 0
	end := l.now + DefaultSnapshotRetryInterval - 100*time.Millisecond
	for l.now < end {
		l.Tick(l.now + DefaultHeartbeatInterval/2)
		l.Step(l.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: l.Status().LastIndex, SentAt: l.now})
		l.Step(l.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 0, Index: last, SentAt: l.now})
		for _, m := range drainReady(l) {
			if m.Kind == MsgSnapshot && m.To == "b" {
				snapshots++
			}
		}
	}
	g.Expect(snapshots).To(Equal(1))
}
