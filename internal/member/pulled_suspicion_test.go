package member

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a daemon that starts just after a machine was lost and lists it as up, to callers too,
// for seconds after all others have ejected it.
var _ = Describe("Suspicions in a table", func() {
	ctx := context.Background()
	gone := Daemon{ID: "gone", Incarnation: 1, Seq: 1, Region: "r", PeerAddress: "127.0.0.1:1"}

	It("make a daemon that starts later eject the suspected one, unless it has refuted since", func() {
		a, b, c := newTestDaemon("a", 1, ""), newTestDaemon("b", 1, ""), newTestDaemon("c", 1, "")
		returned := gone
		returned.Seq++
		c.merge(returned)
		a.merge(gone)
		a.handleSuspicion(gone)
		for _, d := range []*testDaemon{b, c} {
			Expect(d.pull(ctx, a.self.Load().PeerAddress)).To(Succeed())
			Expect(ids(d.Live())).To(ContainElement("gone"))
			d.table.Expire(time.Now().Add(SuspicionTimeout))
		}
		Expect(ids(b.Live())).NotTo(ContainElement("gone"))
		Expect(ids(c.Live())).To(ContainElement("gone"))
	})

	It("make a daemon that is itself suspected refute", func() {
		a, b := newTestDaemon("a", 1, ""), newTestDaemon("b", 1, "")
		a.merge(b.localPing().From)
		a.mu.Lock()
		a.table.Suspect(time.Now(), b.localPing().From)
		a.mu.Unlock()
		Expect(b.pull(ctx, a.self.Load().PeerAddress)).To(Succeed())
		Eventually(func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.table.suspects("b") }).Should(BeFalse())
		a.mu.Lock()
		defer a.mu.Unlock()
		a.table.Expire(time.Now().Add(SuspicionTimeout))
		Expect(a.table.others).To(HaveKey("b"))
	})
})
