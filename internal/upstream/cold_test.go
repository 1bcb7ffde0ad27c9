package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an announcement to all daemons with each heartbeat of a cold upstream, whose
// end of the cold period differs by the time that the heartbeat took; and against daemons that
// learn late that an upstream is cold, or no longer.
func TestColdPeriodIsAnnouncedOnceAtItsBeginAndEnd(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	r := NewRegistry()
	seq := uint64(0)
	due := func(until time.Time) bool {
		seq++
		now = now.Add(100 * time.Millisecond)
		a := Announcement{ID: "u", Incarnation: 1, Seq: seq, TTL: 2}
		if !until.IsZero() {
			a.ColdUntil = until.UnixMilli()
		}
		notify := r.ShouldNotify(now, a)
		r.Record(now, a)
		if notify {
			r.MarkNotified(now, a.ID)
		}
		return notify
	}
	end := now.Add(3 * time.Second)
	g.Expect(due(time.Time{})).To(BeTrue(), "it is new")
	g.Expect(due(end)).To(BeTrue())
	g.Expect(due(end.Add(150 * time.Millisecond))).To(BeFalse())
	g.Expect(due(end.Add(2*time.Second))).To(BeTrue(), "it has become cold again")
	g.Expect(due(time.Time{})).To(BeTrue())
	said := Announcement{ID: "u", Incarnation: 1}
	g.Expect(r.RecordCold(said, end)).To(BeTrue())
	known, _ := r.Get("u")
	g.Expect(known.Cold(now)).To(BeTrue())
	g.Expect(due(end)).To(BeTrue(), "the other daemons don't know what an answer to this one said")
}
