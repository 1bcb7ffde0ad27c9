package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Unix(1_000_000, 0)

func zoneOf(z string, n int) []Announcement {
	var out []Announcement
	for i := range n {
		out = append(out, Announcement{ID: z + string(rune('0'+i)), Incarnation: 1, Seq: 1, Zone: z, Service: "s", TTL: 2})
	}
	return out
}

func TestZoneIsEjectedWhenMostOfItFails(t *testing.T) {
	g := NewWithT(t)
	h := NewHealth()
	list := append(zoneOf("a", 3), zoneOf("b", 3)...)
	h.RecordFailure(epoch, list[0])
	g.Expect(h.Ejected(epoch, list)).To(Equal([]bool{true, false, false, false, false, false}))
	h.RecordFailure(epoch, list[1])
	g.Expect(h.Ejected(epoch, list)).To(Equal([]bool{true, true, true, false, false, false}))
	h.RecordSuccess(list[1])
	g.Expect(h.Ejected(epoch, list)).To(Equal([]bool{true, false, false, false, false, false}))
	list[0].Incarnation = 2
	g.Expect(h.Ejected(epoch, list)).NotTo(ContainElement(true), "a new incarnation is trusted at once")
}

func TestEjectionBacksOffAndLetsOneTry(t *testing.T) {
	g := NewWithT(t)
	h := NewHealth()
	list := zoneOf("a", 1)
	out := func(d time.Duration) bool { return h.Ejected(epoch.Add(d), list)[0] }
	h.RecordFailure(epoch, list[0])
	h.RecordFailure(epoch, list[0]) // of a request that ran beside the first
	g.Expect(out(firstEjection - 1)).To(BeTrue())
	g.Expect(out(firstEjection)).To(BeFalse())
	h.BeginProbe(epoch.Add(firstEjection), list[0])
	g.Expect(out(firstEjection)).To(BeTrue(), "one tries, the others wait for it")
	h.RecordFailure(epoch.Add(firstEjection), list[0])
	g.Expect(out(3*firstEjection - 1)).To(BeTrue())
	g.Expect(out(3 * firstEjection)).To(BeFalse())
}

// Whatever order the announcements of a leaving upstream arrive in, it is not
// used again before its next incarnation.
func TestLateAnnouncementBringsNoLeavingUpstreamBack(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry()
	a := zoneOf("a", 1)[0]
	leaving := a
	leaving.Seq, leaving.Leaving = 5, true
	r.Take(epoch, leaving)
	for _, seq := range []uint64{4, 6, 7} {
		a.Seq = seq
		r.Take(epoch.Add(time.Second), a)
		g.Expect(r.Live(epoch.Add(time.Second))).To(BeEmpty())
	}
	a.Incarnation, a.Seq = 2, 1
	r.Take(epoch.Add(time.Second), a)
	g.Expect(r.Live(epoch.Add(time.Second))).To(HaveLen(1))
}

func TestAnnouncementsSpreadOnlyWithNews(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry()
	a := zoneOf("a", 1)[0]
	due := func(d time.Duration, change func(*Announcement)) bool {
		a.Seq++
		change(&a)
		now := epoch.Add(d)
		out := r.Due(now, a)
		r.Take(now, a)
		if out {
			r.Spread(now, a.ID)
		}
		return out
	}
	g.Expect(due(0, func(*Announcement) {})).To(BeTrue())
	g.Expect(due(500*time.Millisecond, func(a *Announcement) { a.Running = 5 })).To(BeFalse())
	g.Expect(due(time.Second, func(*Announcement) {})).To(BeTrue(), "what they know runs out")
	g.Expect(due(1100*time.Millisecond, func(a *Announcement) { a.Version = 7 })).To(BeTrue())
	g.Expect(due(1200*time.Millisecond, func(a *Announcement) { a.Leaving = true })).To(BeTrue())
}
