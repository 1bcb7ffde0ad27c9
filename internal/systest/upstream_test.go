package systest

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// leavingTarget bounds the time until no entry sends a leaving upstream new work.
const leavingTarget = 3 * time.Second

// Upstreams leave one after the other: soon no entry that knew them does.
func TestLeavingUpstreamIsKnownOnAllEntries(t *testing.T) {
	c := newCluster(t, "")
	c.account("owner")
	c.document(checkerDocument)
	worst := time.Duration(0)
	for _, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		u := c.upstream(standin.Options{ID: id, Service: "checker"})
		ctx, leave := context.WithCancel(c.ctx())
		c.run(u, func() error { return u.Serve(ctx, standin.Plain{Upstream: u}.Handler()) })
		known := func(i int) func() string {
			return func() string {
				return c.cli(c.opArgs([]string{"upstream", "list"}, []string{c.entry(i)})...)
			}
		}
		for i := 1; i <= daemons; i++ {
			c.g.Eventually(known(i), 5*time.Second, 20*time.Millisecond).Should(ContainSubstring(id), "entry %d", i)
		}
		left := time.Now()
		leave()
		for i := 1; i <= daemons; i++ {
			c.g.Eventually(known(i), leavingTarget, 20*time.Millisecond).ShouldNot(ContainSubstring(id), "entry %d", i)
		}
		worst = max(worst, time.Since(left))
	}
	c.g.Expect(worst).To(BeNumerically("<", leavingTarget))
	t.Logf("worst of 6 leavings over 6 entries: %v", worst)
}

// One zone of three vanishes at once, without a word: every call that may be
// repeated is answered, and none waits for the lost zone.
func TestZoneOfUpstreamsVanishesAtOnce(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	c.document(checkerDocument + "\n[route:lookup]\npath = /verdicts/\nmethod = GET\nidempotent = true\ntimeout = 2s\n")
	var lost []*standin.Upstream
	for i, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8", "u9"} {
		o := standin.Options{ID: id, Service: "checker", Zone: string("abc"[i%3])}
		if o.Zone == "a" {
			o.Class = "cheap"
		}
		if u := c.plain(o); o.Zone == "a" {
			lost = append(lost, u)
		}
	}
	for _, u := range lost {
		u.SimulateCrash()
	}
	caller := standin.Caller{Entries: c.entries(), Zone: "a", Key: key}
	for range 300 {
		r, err := caller.Do(context.Background(), http.MethodGet, "/services/checker/verdicts/1", nil, nil)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
	}
}
