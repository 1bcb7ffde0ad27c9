package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// leaderOf returns a leader of three voters with n entries of size bytes that no
// follower has.
func leaderOf(g Gomega, n, size int) *Node {
	members := Membership{}
	for _, id := range []ID{"a", "b", "c"} {
		members[id] = Member{ID: id, Address: string(id), Voter: true}
	}
	l := New(Config{ID: "a", Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members}, Rand: rand.New(rand.NewPCG(1, 2))})
	now := Time(0)
	for l.Status().Role != Candidate && now < 10*time.Second {
		now += 50 * time.Millisecond
		l.Tick(now)
		for _, m := range settle(l) {
			if m.Kind == MsgPreVote {
				l.Step(now, Message{Kind: MsgPreVoteReply, From: m.To, To: "a", Term: m.Term})
			}
		}
	}
	l.Step(now, Message{Kind: MsgVoteReply, From: "b", To: "a", Term: l.Status().Term})
	g.Expect(l.Status().Role).To(Equal(Leader))
	settle(l)
	for range n {
		_, _, err := l.Propose(now, make([]byte, size))
		g.Expect(err).NotTo(HaveOccurred())
	}
	return l
}

// settle stores and applies all that is ready and returns the messages.
func settle(n *Node) []Message {
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

func dataTo(ms []Message, id ID) (appends, bytes int) {
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

// A follower that has lost several appends rejects each of them. Were every
// rejection answered with the whole backlog, the follower would drown in it and
// never catch up.
func TestRejectionsDoNotMultiplyTheBacklog(t *testing.T) {
	g := NewWithT(t)
	l := leaderOf(g, 200, 10_000)
	settle(l)
	now := l.now
	sum, appends := 0, 0
	for range 20 {
		l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 1, Index: l.Status().LastIndex, Sent: now})
		k, n := dataTo(settle(l), "b")
		appends += k
		sum += n
	}
	g.Expect(appends).To(BeNumerically("<=", 2))
	g.Expect(sum).To(BeNumerically("<=", 2*DefaultMaxAppendBytes+10_000))
}

func TestDataUnderWayIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := leaderOf(g, 2000, 10_000)
	sum := 0
	for range 100 {
		_, n := dataTo(settle(l), "b")
		sum += n
		l.Tick(l.now + DefaultHeartbeat/4)
		l.Step(l.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: 1, Sent: l.now})
	}
	g.Expect(l.Status().Role).To(Equal(Leader))
	g.Expect(sum).To(BeNumerically("<=", DefaultWindowBytes+DefaultMaxAppendBytes+10_000))
}

// A large snapshot takes longer than a heartbeat interval to arrive.
func TestSnapshotIsNotSentAgainWhileItIsUnderWay(t *testing.T) {
	g := NewWithT(t)
	l := leaderOf(g, 1, 10)
	settle(l)
	last := l.Status().LastIndex
	l.Step(l.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: last, Sent: l.now})
	settle(l)
	term, _ := l.TermAt(last)
	l.Compact(SnapshotMeta{Index: last, Term: term, Members: l.Status().Members})
	snapshots := 0
	end := l.now + DefaultSnapshotRetry - 100*time.Millisecond
	for l.now < end {
		l.Tick(l.now + DefaultHeartbeat/2)
		l.Step(l.now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: l.Status().LastIndex, Sent: l.now})
		l.Step(l.now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 0, Index: last, Sent: l.now})
		for _, m := range settle(l) {
			if m.Kind == MsgSnapshot && m.To == "b" {
				snapshots++
			}
		}
	}
	g.Expect(snapshots).To(Equal(1))
}
