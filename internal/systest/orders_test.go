package systest

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// A missing upstream must be ordered exactly once although every second response of the
// platform is lost, and once more after it has been reclaimed. A new leader that has not
// received the announcements of running upstreams yet must not order them again.
func TestMissingUpstreamsAreOrderedOnce(t *testing.T) {
	platform := standin.NewPlatform(standin.Options{})
	platform.LoseEvery = 2
	c := &cluster{subnet: int(lastSubnet.Load()) + 21} // newCluster below uses the same subnet
	c = newCluster(t, fmt.Sprintf("\n[platform]\norders_url = http://%s:9000/orders\n", c.ip(240)))
	platform.Options = c.newUpstream(standin.Options{Address: c.ip(230) + ":0"}).Options
	platform.Options.Entries = c.entries()[replicas:]
	c.serveBehindRelay(240, platform.Handler())
	c.createAccount("owner")
	c.putDocument(capacityDocument)
	for _, zone := range []string{"a", "b"} {
		u := c.newUpstream(standin.Options{ID: "engine-" + zone, Service: "hint", Zone: zone})
		u.Entries = c.entries()[replicas:]
		c.startUpstream(u, func() error { return u.Serve(c.ctx(), standin.Engine{Upstream: u}.Handler()) })
	}
	expectOrders := func(n int) {
		t.Helper()
		c.g.Eventually(func() int { return len(platform.Orders()) }, 40*time.Second, 20*time.Millisecond).Should(Equal(1))
		c.g.Consistently(func() int { return platform.View().Decided }, 3*time.Second, 50*time.Millisecond).Should(Equal(n))
		c.g.Expect(platform.Orders()).To(HaveLen(1))
		c.g.Expect(platform.Orders()[0].Zone).To(Equal("c"))
	}
	expectOrders(1)

	// All replicas restart, and the entries that receive the announcements of the upstreams
	// are frozen for a while.
	for i := 1; i <= replicas; i++ {
		c.kill(i)
	}
	for i := replicas + 1; i <= daemons; i++ {
		c.freeze(i)
	}
	for i := 1; i <= replicas; i++ {
		c.start(i)
	}
	c.g.Eventually(func() int { return c.leader(1) }, 20*time.Second, 50*time.Millisecond).ShouldNot(BeZero())
	time.Sleep(2500 * time.Millisecond)
	for i := replicas + 1; i <= daemons; i++ {
		c.unfreeze(i)
	}
	c.g.Consistently(func() int { return platform.View().Decided }, 12*time.Second, 50*time.Millisecond).Should(Equal(1))

	c.g.Expect(platform.Reclaim("c", "regular")).To(Equal(1))
	c.g.Eventually(func() int { return platform.View().Decided }, 40*time.Second, 20*time.Millisecond).Should(Equal(2))
	expectOrders(2)
}
