package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func announced(id string, incarnation int64, seq uint64) Announcement {
	return Announcement{ID: id, Incarnation: incarnation, Seq: seq, Service: "s", Address: "10.0.0.1:80", Zone: "z", Class: ClassRegular, Concurrency: 1, TTL: 2}
}

// An upstream that withdraws without a further heartbeat bears the number of its
// last one.
func TestWithdrawalOfTheNewestAnnouncementIsTaken(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRegistry()
	g.Expect(r.Take(now, announced("a", 5, 7))).To(BeTrue())
	left := announced("a", 5, 7)
	left.Leaving = true
	g.Expect(r.Take(now, left)).To(BeTrue())
	g.Expect(r.Known(now)).To(BeEmpty())
	g.Expect(r.Take(now, announced("a", 5, 9))).To(BeTrue(), "a late heartbeat is recorded")
	g.Expect(r.Known(now)).To(BeEmpty(), "but does not bring the upstream back")
	older := announced("a", 5, 6)
	older.Leaving = true
	r2 := NewRegistry()
	r2.Take(now, announced("a", 5, 7))
	g.Expect(r2.Take(now, older)).To(BeTrue(), "a withdrawal counts whatever its number")
	g.Expect(r2.Known(now)).To(BeEmpty())
	restarted := announced("a", 6, 1)
	g.Expect(r.Take(now, restarted)).To(BeTrue())
	g.Expect(r.Known(now)).To(HaveLen(1))
	g.Expect(r.Take(now, left)).To(BeFalse(), "the incarnation before does not end the new one")
	g.Expect(r.Known(now)).To(HaveLen(1))
}

// Addresses are used again: only the newest incarnation at one is known, and a
// silent upstream stays known until its time is over.
func TestKnownUpstreams(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRegistry()
	r.Take(now, announced("old", 5, 1))
	r.Take(now, announced("new", 6, 1))
	known := r.Known(now)
	g.Expect(known).To(HaveLen(1))
	g.Expect(known[0].ID).To(Equal("new"))
	later := now.Add(3 * time.Second)
	g.Expect(r.Live(later)).To(BeEmpty())
	g.Expect(r.Known(later)).To(HaveLen(1))
	g.Expect(r.Known(later)[0].Silent).To(BeTrue())
	g.Expect(r.Known(now.Add(time.Minute))).To(BeEmpty())
}
