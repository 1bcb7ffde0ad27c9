package systest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// maxLostUpstreams is the maximum number of upstreams that one request may crash.
const maxLostUpstreams = 2

var idempotentCheckerDocument = strings.Replace(checkerDocument, "path = /submit\n", "path = /submit\nidempotent = true\n", 1)

// startCrashingUpstreams starts n upstreams that crash on a body with "boom". It returns a
// counter of the crashes.
func (c *cluster) startCrashingUpstreams(n int, o standin.Options) *atomic.Int32 {
	var crashes atomic.Int32
	for i := range n {
		o.ID, o.Service, o.Zone = fmt.Sprint("checker-", i+1), "checker", c.zone(i+1)
		o.CrashOn = "boom"
		u := c.newUpstream(o)
		var once sync.Once
		u.Crash = func() {
			once.Do(func() {
				crashes.Add(1)
				u.SimulateCrash()
			})
		}
		c.startUpstream(u, func() error { return u.Serve(c.ctx(), standin.Plain{Upstream: u}.Handler()) })
	}
	return &crashes
}

// A caller repeatedly sends a request that crashes its upstream, each time through another
// entry and with a new request id, while other requests run. At most two upstreams may be
// lost, and no other request may be quarantined.
func TestCrashingRequestKillsAtMostTwoUpstreams(t *testing.T) {
	c := newCluster(t, "")
	key := c.createAccount("owner")
	c.putDocument(idempotentCheckerDocument)
	crashes := c.startCrashingUpstreams(9, standin.Options{TokenTime: 5 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)

	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var wronglyQuarantined, served atomic.Int32
	for i := 1; i <= daemons; i++ {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r, _ := c.submit(ctx, i, key, "", fmt.Sprintf("other %d-%d", i, n%4))
				switch r.Code() {
				case result.Quarantined, result.QuarantinedNow:
					wronglyQuarantined.Add(1)
				}
				if r.Status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	var last standin.Reply
	rejected := 0
	for n := range 30 {
		last, _ = c.submit(context.Background(), 1+n%daemons, key, "", "boom")
		if last.Code() == result.Quarantined {
			rejected++
		}
	}
	stop()
	wg.Wait()
	t.Logf("upstreams lost: %d; crashing requests rejected: %d of 30; other requests served: %d, quarantined: %d", crashes.Load(), rejected, served.Load(), wronglyQuarantined.Load())
	c.g.Expect(crashes.Load()).To(BeNumerically("<=", maxLostUpstreams))
	c.g.Expect(last.Code()).To(Equal(result.Quarantined), string(last.Body))
	c.g.Expect(wronglyQuarantined.Load()).To(BeZero())
	c.g.Expect(served.Load()).To(BeNumerically(">", 0))
	// Every entry lists the crashing request with the upstreams that it crashed, each in the
	// form ID#INCARNATION. Other requests stop being suspect when they run again, alone and
	// without a crash. An operator's release takes effect at every entry.
	var fingerprint string
	for i := 1; i <= daemons; i++ {
		list := c.runCLI(c.operatorArgs([]string{"quarantine", "list"}, []string{c.entry(i)})...)
		for _, line := range strings.Split(strings.TrimSpace(list), "\n") {
			if strings.Count(line, "#") == maxLostUpstreams {
				fingerprint, _, _ = strings.Cut(line, " ")
			}
		}
		c.g.Expect(fingerprint).NotTo(BeEmpty(), "entry %d: %s", i, list)
	}
	c.runOperator("quarantine", "release", fingerprint)
	for i := 1; i <= daemons; i++ {
		c.g.Eventually(func() string {
			return c.runCLI(c.operatorArgs([]string{"quarantine", "list"}, []string{c.entry(i)})...)
		}, "2s", "20ms").ShouldNot(MatchRegexp(fingerprint + `.*#`))
	}
}

// Upstreams truncate responses without crashing. No request may be suspected of having
// crashed them.
func TestTruncatedResponsesQuarantineNoRequest(t *testing.T) {
	c := newCluster(t, "")
	key := c.createAccount("owner")
	c.putDocument(idempotentCheckerDocument)
	c.startCrashingUpstreams(3, standin.Options{TokenTime: time.Millisecond, Faults: standin.Faults{CutEvery: 3}})
	c.waitFresh(4)
	for range 60 {
		r, err := c.submit(context.Background(), 4, key, "", "again and again")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Code()).To(BeElementOf(result.OK, result.AnswerCut, result.UpstreamFailed), string(r.Body))
	}
	time.Sleep(2 * time.Second) // longer than it takes to detect a restart
	c.g.Expect(c.runOperator("quarantine", "list")).NotTo(ContainSubstring("#"))
}
