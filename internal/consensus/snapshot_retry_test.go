package consensus

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// countSnapshots returns the number of snapshots for id in ms.
func countSnapshots(ms []Message, id ID) int {
	n := 0
	for _, m := range ms {
		if m.To == id && m.Kind == MsgSnapshot {
			n++
		}
	}
	return n
}

// A transfer that takes longer than the retry interval must not be followed by another
// one at once: a replica that is storing the snapshot would receive it again and again.
// A transfer that failed must be repeated without waiting for the interval.
func TestSnapshotRetryIntervalStartsWithEndOfTransfer(t *testing.T) {
	for name, ok := range map[string]bool{"transferred": true, "failed": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLeaderWithEntries(g, 10, 10)
			drainReady(l)
			last := l.Status().LastIndex
			now := l.now
			tick := func(d time.Duration) int {
				now += d
				// c has everything, b still lacks the snapshot; both answer each heartbeat.
				l.Step(now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: last, SentAt: now})
				l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Index: last, SentAt: now})
				l.Tick(now)
				return countSnapshots(drainReady(l), "b")
			}
			tick(DefaultHeartbeatInterval)
			l.Compact(SnapshotMeta{Index: last, Term: l.Status().Term, Members: l.members})
			g.Expect(tick(DefaultHeartbeatInterval)).To(Equal(1))

			for range 18 { // 3.6 s, longer than the retry interval
				tick(DefaultHeartbeatInterval)
			}
			l.SnapshotSent(now, "b", ok)
			if !ok {
				g.Expect(tick(DefaultHeartbeatInterval)).To(Equal(1), "a failed transfer is repeated at once")
				for range 4 {
					g.Expect(tick(DefaultHeartbeatInterval)).To(Equal(0), "and only once")
				}
				return
			}
			resent := 0
			for range 5 { // 1 s, shorter than the retry interval
				resent += tick(DefaultHeartbeatInterval)
			}
			g.Expect(resent).To(Equal(0))
			for range 6 {
				resent += tick(DefaultHeartbeatInterval)
			}
			g.Expect(resent).To(Equal(1), "an unacknowledged snapshot is sent again, once")
		})
	}
}

// A leader that compacts its log must not send snapshots to a replica that is gone: its
// successor at the same address would wait for the end of each transfer.
func TestNoSnapshotForReplicaThatDoesNotAnswer(t *testing.T) {
	g := NewWithT(t)
	l := newLeaderWithEntries(g, 10, 10)
	drainReady(l)
	last, now := l.Status().LastIndex, l.now
	tick := func() []Message {
		now += DefaultHeartbeatInterval
		l.Step(now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: last, SentAt: now})
		l.Tick(now)
		return drainReady(l)
	}
	tick()
	l.Compact(SnapshotMeta{Index: last, Term: l.Status().Term, Members: l.members})
	l.progress["b"].next, l.progress["b"].match = 2, 0
	for range 20 {
		ms := tick()
		g.Expect(countSnapshots(ms, "b")).To(Equal(0))
		appends, _ := countAppends(ms, "b")
		g.Expect(appends).To(Equal(1), "heartbeats continue")
	}
	l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 0, Index: last, SentAt: now})
	g.Expect(countSnapshots(drainReady(l), "b")).To(Equal(1), "it is sent once the replica answers")
}
