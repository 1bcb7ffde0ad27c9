package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an upstream that counts as heard because another daemon has returned its last
// announcement: it may have crashed since.
func TestAnnouncementOfAnExchangeIsNoHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := NewDirectory(nil)
		d.startedAt = time.Now().Add(-startPeriod)
		a := Announcement{ID: "u", Incarnation: 1, Seq: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z", Class: ClassRegular, Concurrency: 1, TTL: 4}
		d.record(a, true)
		d.markHeard(a)
		heard := time.Now()
		time.Sleep(time.Second)
		a.Seq = 2
		d.merge([]Announcement{a})
		g.Expect(d.HeardAt("u", 1)).To(Equal(heard), "returned by another daemon")
		time.Sleep(time.Second)
		d.markHeard(a)
		g.Expect(d.HeardAt("u", 1)).To(Equal(time.Now()), "the notice comes after the exchange")
		heard = time.Now()
		time.Sleep(time.Second)
		old := a
		old.Seq = 1
		d.record(old, true)
		d.markHeard(old)
		g.Expect(d.HeardAt("u", 1)).To(Equal(heard), "an older one")
		a.Incarnation = 2
		d.record(a, true)
		g.Expect(d.HeardAt("u", 1)).To(BeZero())
		g.Expect(d.HeardAt("u", 2)).To(BeZero(), "a new incarnation that has not been heard")
	})
}
