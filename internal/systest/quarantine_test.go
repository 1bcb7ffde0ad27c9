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

// lossTarget is the number of upstreams that one crash request may cost.
const lossTarget = 2

var idempotentChecker = strings.Replace(checkerDocument, "path = /submit\n", "path = /submit\nidempotent = true\n", 1)

// crowd starts n upstreams that die of a body with "boom" and counts the deaths.
func (c *cluster) crowd(n int, o standin.Options) *atomic.Int32 {
	var deaths atomic.Int32
	for i := range n {
		o.ID, o.Service, o.Zone = fmt.Sprint("checker-", i+1), "checker", c.zone(i+1)
		o.CrashOn = "boom"
		u := c.upstream(o)
		var once sync.Once
		u.Crash = func() {
			once.Do(func() {
				deaths.Add(1)
				u.SimulateCrash()
			})
		}
		c.run(u, func() error { return u.Serve(c.ctx(), standin.Plain{Upstream: u}.Handler()) })
	}
	return &deaths
}

// A caller sends a request that kills its upstream again and again, each time
// through another entry and under a new id, beside innocent traffic.
func TestCrashRequestCostsAtMostTwoUpstreams(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	c.document(idempotentChecker)
	deaths := c.crowd(9, standin.Options{TokenTime: 5 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)

	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var blamed, served atomic.Int32
	for i := 1; i <= daemons; i++ {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r, _ := c.submit(ctx, i, key, "", fmt.Sprintf("innocent %d-%d", i, n%4))
				switch r.Code() {
				case result.Quarantined, result.QuarantinedNow:
					blamed.Add(1)
				}
				if r.Status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	var last standin.Reply
	refused := 0
	for n := range 30 {
		last, _ = c.submit(context.Background(), 1+n%daemons, key, "", "boom")
		if last.Code() == result.Quarantined {
			refused++
		}
	}
	stop()
	wg.Wait()
	t.Logf("upstreams lost: %d; refused %d of 30; innocents served: %d, blamed: %d", deaths.Load(), refused, served.Load(), blamed.Load())
	c.g.Expect(deaths.Load()).To(BeNumerically("<=", lossTarget))
	c.g.Expect(last.Code()).To(Equal(result.Quarantined), string(last.Body))
	c.g.Expect(blamed.Load()).To(BeZero())
	c.g.Expect(served.Load()).To(BeNumerically(">", 0))
	// Innocents are cleared when they run again; the guilty one is known to
	// every entry, and an operator releases it everywhere.
	var fp string
	for i := 1; i <= daemons; i++ {
		list := c.cli(c.opArgs([]string{"quarantine", "list"}, []string{c.entry(i)})...)
		for _, line := range strings.Split(strings.TrimSpace(list), "\n") {
			if strings.Count(line, "#") == lossTarget {
				fp, _, _ = strings.Cut(line, " ")
			}
		}
		c.g.Expect(fp).NotTo(BeEmpty(), "entry %d: %s", i, list)
	}
	c.op("quarantine", "release", fp)
	for i := 1; i <= daemons; i++ {
		c.g.Eventually(func() string {
			return c.cli(c.opArgs([]string{"quarantine", "list"}, []string{c.entry(i)})...)
		}, "2s", "20ms").ShouldNot(MatchRegexp(fp + `.*#`))
	}
}

// An upstream that cuts answers but lives makes nobody suspect.
func TestCutAnswersQuarantineNobody(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	c.document(idempotentChecker)
	c.crowd(3, standin.Options{TokenTime: time.Millisecond, Faults: standin.Faults{CutEvery: 3}})
	c.waitFresh(4)
	for range 60 {
		r, err := c.submit(context.Background(), 4, key, "", "again and again")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Code()).To(BeElementOf(result.OK, result.AnswerCut, result.UpstreamFailed), string(r.Body))
	}
	time.Sleep(2 * time.Second) // a restart would be noticed by now
	c.g.Expect(c.op("quarantine", "list")).NotTo(ContainSubstring("#"))
}
