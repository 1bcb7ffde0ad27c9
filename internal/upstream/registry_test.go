package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func newAnnouncement(id string, incarnation int64, seq uint64) Announcement {
	return Announcement{ID: id, Incarnation: incarnation, Seq: seq, Service: "s", Address: "10.0.0.1:80", Zone: "z", Class: ClassRegular, Concurrency: 1, TTL: 2}
}

// A withdrawal may carry the sequence number of the last announcement of the upstream, or
// an older one, and must be recorded nevertheless.
func TestWithdrawalIsRecordedWhateverItsSequenceNumber(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRegistry()
	g.Expect(r.Record(now, newAnnouncement("a", 5, 7))).To(BeTrue())
	left := newAnnouncement("a", 5, 7)
	left.Leaving = true
	g.Expect(r.Record(now, left)).To(BeTrue())
	g.Expect(r.Known(now)).To(BeEmpty())
	g.Expect(r.Record(now, newAnnouncement("a", 5, 9))).To(BeTrue(), "a late announcement is recorded")
	g.Expect(r.Known(now)).To(BeEmpty(), "a late announcement does not revive the upstream")
	older := newAnnouncement("a", 5, 6)
	older.Leaving = true
	r2 := NewRegistry()
	r2.Record(now, newAnnouncement("a", 5, 7))
	g.Expect(r2.Record(now, older)).To(BeTrue(), "a withdrawal counts whatever its sequence number")
	g.Expect(r2.Known(now)).To(BeEmpty())
	restarted := newAnnouncement("a", 6, 1)
	g.Expect(r.Record(now, restarted)).To(BeTrue())
	g.Expect(r.Known(now)).To(HaveLen(1))
	g.Expect(r.Record(now, left)).To(BeFalse(), "the withdrawal of an incarnation does not affect the next one")
	g.Expect(r.Known(now)).To(HaveLen(1))
}

// Addresses are reused, so only the newest incarnation at an address is known. A silent
// upstream stays known for silentRetention.
func TestKnownListsTheNewestIncarnationAtAnAddress(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRegistry()
	r.Record(now, newAnnouncement("old", 5, 1))
	r.Record(now, newAnnouncement("new", 6, 1))
	known := r.Known(now)
	g.Expect(known).To(HaveLen(1))
	g.Expect(known[0].ID).To(Equal("new"))
	later := now.Add(3 * time.Second)
	g.Expect(r.Live(later)).To(BeEmpty())
	g.Expect(r.Known(later)).To(HaveLen(1))
	g.Expect(r.Known(later)[0].Silent).To(BeTrue())
	g.Expect(r.Known(now.Add(time.Minute))).To(BeEmpty())
}

// Guards against a withdrawal by id alone that has no effect: a daemon that does not know
// the upstream, because it has just started, sends it to daemons that do.
func TestWithdrawalWithoutIncarnationAppliesToTheKnownOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := NewRegistry()
	r.Record(now, newAnnouncement("a", 5, 7))
	byID := Announcement{ID: "a", TTL: 2, Leaving: true}
	g.Expect(r.Record(now, byID)).To(BeFalse(), "in an exchange it may be older than the current incarnation")
	g.Expect(r.Record(now, r.Withdrawal(byID))).To(BeTrue())
	g.Expect(r.Known(now)).To(BeEmpty())
	g.Expect(r.Record(now, newAnnouncement("a", 5, 8))).To(BeTrue())
	g.Expect(r.Known(now)).To(BeEmpty(), "a late announcement does not revive the upstream")
	g.Expect(r.Record(now, newAnnouncement("a", 6, 1))).To(BeTrue())
	g.Expect(r.Known(now)).To(HaveLen(1), "the withdrawal does not affect the next incarnation")
}

// Guards against an upstream that gets no requests because another writer announced it with a
// sequence number that it will never reach.
func TestHeartbeatsCountAgainAfterASequenceNumberOfAnotherWriter(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry()
	now := time.Now()
	g.Expect(r.Record(now, newAnnouncement("a", 5, 7))).To(BeTrue())
	odd := newAnnouncement("a", 5, 1<<62)
	odd.Address = "10.0.0.9:9"
	g.Expect(r.Record(now, odd)).To(BeTrue())
	g.Expect(r.Record(now.Add(time.Second), newAnnouncement("a", 5, 8))).To(BeFalse(), "a late heartbeat")
	later := now.Add(3 * time.Second)
	g.Expect(r.Record(later, newAnnouncement("a", 5, 10))).To(BeTrue())
	g.Expect(r.Known(later)).To(HaveLen(1))
	g.Expect(r.Known(later)[0].Address).To(Equal("10.0.0.1:80"))
	g.Expect(r.Known(later)[0].Silent).To(BeFalse())
	g.Expect(r.Record(later.Add(time.Second), newAnnouncement("a", 5, 11))).To(BeTrue())
	g.Expect(r.Record(later.Add(time.Minute), newAnnouncement("a", 4, 99))).To(BeFalse(), "an earlier incarnation has ended")
}

// Guards against an odd entry that one daemon took, and that reaches all others with its list.
func TestOddEntriesOfAnotherDaemonsListAreIgnored(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory(nil)
	sound, odd := newAnnouncement("sound", 1, 1), newAnnouncement("odd", 1, 1)
	odd.Concurrency = 1 << 62
	d.merge([]Announcement{odd, sound, {ID: "gone", Leaving: true}})
	g.Expect(d.Known()).To(HaveLen(1))
	g.Expect(d.Known()[0].ID).To(Equal("sound"))
	_, known := d.Get("gone")
	g.Expect(known).To(BeTrue(), "a withdrawal")
}
