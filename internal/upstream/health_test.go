package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Unix(1_000_000, 0)

// newZone returns the announcements of n upstreams in a zone.
func newZone(z string, n int) []Announcement {
	var out []Announcement
	for i := range n {
		out = append(out, Announcement{ID: z + string(rune('0'+i)), Incarnation: 1, Seq: 1, Zone: z, Service: "s", TTL: 2})
	}
	return out
}

func TestZoneIsEjectedWhenMostOfItFails(t *testing.T) {
	g := NewWithT(t)
	h := NewHealth()
	list := append(newZone("a", 3), newZone("b", 3)...)
	h.RecordFailure(epoch, list[0])
	g.Expect(h.Ejected(epoch, list)).To(Equal([]bool{true, false, false, false, false, false}))
	h.RecordFailure(epoch, list[1])
	g.Expect(h.Ejected(epoch, list)).To(Equal([]bool{true, true, true, false, false, false}))
	h.RecordSuccess(list[1])
	g.Expect(h.Ejected(epoch, list)).To(Equal([]bool{true, false, false, false, false, false}))
	list[0].Incarnation = 2
	g.Expect(h.Ejected(epoch, list)).NotTo(ContainElement(true), "a new incarnation is not ejected")
}

func TestEjectionBacksOffAndAllowsOneProbe(t *testing.T) {
	g := NewWithT(t)
	h := NewHealth()
	list := newZone("a", 1)
	ejected := func(d time.Duration) bool { return h.Ejected(epoch.Add(d), list)[0] }
	h.RecordFailure(epoch, list[0])
	h.RecordFailure(epoch, list[0]) // a concurrent request failed too
	g.Expect(ejected(initialEjection - 1)).To(BeTrue())
	g.Expect(ejected(initialEjection)).To(BeFalse())
	h.BeginProbe(epoch.Add(initialEjection), list[0])
	g.Expect(ejected(initialEjection)).To(BeTrue(), "only one probe is sent")
	h.RecordFailure(epoch.Add(initialEjection), list[0])
	g.Expect(ejected(3*initialEjection - 1)).To(BeTrue())
	g.Expect(ejected(3 * initialEjection)).To(BeFalse())
}

// In whatever order the announcements of a leaving upstream arrive, it must not be listed
// before its next incarnation.
func TestLateAnnouncementDoesNotReviveALeavingUpstream(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry()
	a := newZone("a", 1)[0]
	leaving := a
	leaving.Seq, leaving.Leaving = 5, true
	r.Record(epoch, leaving)
	for _, seq := range []uint64{4, 6, 7} {
		a.Seq = seq
		r.Record(epoch.Add(time.Second), a)
		g.Expect(r.Live(epoch.Add(time.Second))).To(BeEmpty())
	}
	a.Incarnation, a.Seq = 2, 1
	r.Record(epoch.Add(time.Second), a)
	g.Expect(r.Live(epoch.Add(time.Second))).To(HaveLen(1))
}

func TestDaemonsAreNotifiedOfChangesAndBeforeExpiry(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry()
	a := newZone("a", 1)[0]
	due := func(d time.Duration, change func(*Announcement)) bool {
		a.Seq++
		change(&a)
		now := epoch.Add(d)
		out := r.ShouldNotify(now, a)
		r.Record(now, a)
		if out {
			r.MarkNotified(now, a.ID)
		}
		return out
	}
	g.Expect(due(0, func(*Announcement) {})).To(BeTrue())
	g.Expect(due(500*time.Millisecond, func(a *Announcement) { a.Running = 5 })).To(BeFalse())
	g.Expect(due(time.Second, func(*Announcement) {})).To(BeTrue(), "the records of other daemons expire soon")
	g.Expect(due(1100*time.Millisecond, func(a *Announcement) { a.Version = 7 })).To(BeTrue())
	g.Expect(due(1200*time.Millisecond, func(a *Announcement) { a.Leaving = true })).To(BeTrue())
}
