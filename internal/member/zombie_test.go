package member

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Table", func() {
	// Guards against an earlier process of a daemon, on a machine that was cut off and
	// replaced, that takes the place of its successor, which still runs.
	It("keeps the successor of a daemon whose earlier process comes back", func() {
		t := NewTable(daemon("a", 1))
		old, next := daemon("b", 3), daemon("b", 1)
		old.Incarnation, old.Replica, old.PeerAddress = 40, "b.old", "m1"
		next.Incarnation, next.Replica, next.PeerAddress = 50, "b.new", "m2"
		t.Merge(epoch, old)
		t.Merge(epoch, next)
		earlier, successor := NewTable(old), NewTable(next)
		renewals := 0
		for range 100 { // each pings a in turn
			for _, b := range []*Table{earlier, successor} {
				t.Merge(epoch, b.Self())
				if r := t.Rejection(epoch, b.Self()); r != nil && b.Renew(*r) {
					renewals++
				}
				t.Merge(epoch, b.Self()) // the announcement
			}
		}
		Expect(renewals).To(BeNumerically("<=", 2), "renewals")
		Expect(t.Live()).To(ContainElement(HaveField("Replica", "b.new")))
	})
})
