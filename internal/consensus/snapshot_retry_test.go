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
				// c answers each heartbeat and has everything, so that the leader stays.
				l.Step(now, Message{Kind: MsgAppendReply, From: "c", To: "a", Term: l.Status().Term, Index: last, SentAt: now})
				l.Tick(now)
				return countSnapshots(drainReady(l), "b")
			}
			tick(DefaultHeartbeatInterval)
			l.Compact(SnapshotMeta{Index: last, Term: l.Status().Term, Members: l.members})
			l.Step(now, Message{Kind: MsgAppendReply, From: "b", To: "a", Term: l.Status().Term, Reject: true, Hint: 1, Index: last, SentAt: now})
			g.Expect(countSnapshots(drainReady(l), "b")).To(Equal(1))

			for range 18 { // 3.6 s, longer than the retry interval
				tick(DefaultHeartbeatInterval)
			}
			l.SnapshotSent(now, "b", ok)
			resent := 0
			for range 5 { // 1 s, shorter than the retry interval
				resent += tick(DefaultHeartbeatInterval)
			}
			if ok {
				g.Expect(resent).To(Equal(0))
				for range 6 {
					resent += tick(DefaultHeartbeatInterval)
				}
			}
			g.Expect(resent).To(Equal(1), "an unacknowledged snapshot is sent again, once")
		})
	}
}
