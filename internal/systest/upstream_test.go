package systest

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// maxLeaveTime is the maximum time until every entry has removed a leaving upstream from its
// list and so sends it no new requests.
const maxLeaveTime = 3 * time.Second

// Upstreams leave one after the other. Every entry that listed an upstream must remove it
// within maxLeaveTime.
func TestLeavingUpstreamIsRemovedOnAllEntries(t *testing.T) {
	c := newCluster(t, "")
	c.createAccount("owner")
	c.putDocument(checkerDocument)
	worst := time.Duration(0)
	for _, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		u := c.newUpstream(standin.Options{ID: id, Service: "checker"})
		ctx, stop := context.WithCancel(c.ctx())
		c.startUpstream(u, func() error { return u.Serve(ctx, standin.Plain{Upstream: u}.Handler()) })
		list := func(i int) func() string {
			return func() string {
				return c.runCLI(c.operatorArgs([]string{"upstream", "list"}, []string{c.entry(i)})...)
			}
		}
		for i := 1; i <= daemons; i++ {
			c.g.Eventually(list(i), 5*time.Second, 20*time.Millisecond).Should(ContainSubstring(id), "entry %d", i)
		}
		stoppedAt := time.Now()
		stop()
		for i := 1; i <= daemons; i++ {
			c.g.Eventually(list(i), maxLeaveTime, 20*time.Millisecond).ShouldNot(ContainSubstring(id), "entry %d", i)
		}
		worst = max(worst, time.Since(stoppedAt))
	}
	c.g.Expect(worst).To(BeNumerically("<", maxLeaveTime))
	t.Logf("maximum time until all 6 entries removed one of 6 upstreams: %v", worst)
}

// All upstreams of one of three zones crash at the same time, without an announcement that
// they leave. Every idempotent request must succeed within the route's timeout and so must
// not wait for the lost zone.
func TestZoneLossFailsNoIdempotentRequest(t *testing.T) {
	c := newCluster(t, "")
	key := c.createAccount("owner")
	c.putDocument(checkerDocument + "\n[route:lookup]\npath = /verdicts/\nmethod = GET\nidempotent = true\ntimeout = 2s\n")
	var zoneA []*standin.Upstream
	for i, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8", "u9"} {
		o := standin.Options{ID: id, Service: "checker", Zone: string("abc"[i%3])}
		if o.Zone == "a" {
			o.Class = "cheap"
		}
		if u := c.startPlain(o); o.Zone == "a" {
			zoneA = append(zoneA, u)
		}
	}
	for _, u := range zoneA {
		u.SimulateCrash()
	}
	caller := standin.Caller{Entries: c.entries(), Zone: "a", Key: key}
	for range 300 {
		r, err := caller.Do(context.Background(), http.MethodGet, "/services/checker/verdicts/1", nil, nil)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
	}
}
