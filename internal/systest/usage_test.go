package systest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

const lookupDocument = `[service]
name = lookup
kind = plain
owner = owner

[route:get]
method = GET
path = /get
idempotent = true
`

// requestSender sends requests to entries and counts those that were served.
type requestSender struct {
	c      *cluster
	key    string
	served atomic.Int64
}

// send sends requests for service to entry i until one has been served.
func (s *requestSender) send(i int, service string) {
	s.c.g.Eventually(func() int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+s.c.entry(i)+"/services/"+service+"/get", nil)
		req.Header.Set("Authorization", "Bearer "+s.key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}, 20*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
	s.served.Add(1)
}

// sendIdempotent sends one request to several entries with the same idempotency key. It
// runs once and counts once. The first entry counts it.
func (s *requestSender) sendIdempotent() {
	for _, i := range []int{4, 6, 5} {
		s.c.g.Eventually(func() int {
			r, _ := s.c.submit(context.Background(), i, s.key, "k1", "guess")
			return r.Status
		}, 20*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK), "entry %d", i)
	}
	s.served.Add(1)
}

// reportedRequests returns the number of requests in all usage reports.
func reportedRequests(r *standin.Receiver) int64 {
	n := int64(0)
	for _, w := range r.View().Reports {
		for _, u := range w.Items {
			n += u.Requests
		}
	}
	return n
}

// Leaders are killed and frozen while they report usage to a receiver that fails and loses
// responses. No request may be lost or counted twice. An entry that shuts down gracefully
// loses no counts. A killed entry may lose counts that are not committed, so the leaders that
// are killed and frozen get no requests.
func TestUsageIsReportedOnceDespiteFailures(t *testing.T) {
	receiver := standin.NewReceiver()
	receiver.FailEvery, receiver.LoseEvery = 5, 3
	c := &cluster{subnet: int(lastSubnet.Load()) + 21} // newCluster below uses the same subnet
	c = newCluster(t, fmt.Sprintf("\n[platform]\nusage_url = http://%s:9000/usage\nwindow = 1s\n\n[timing]\ndrain_time = 0s\naddress_ttl = 100ms\n", c.ip(241)))
	c.serveBehindRelay(241, receiver.Handler())
	sender := &requestSender{c: c, key: c.createAccount("owner")}
	c.putDocument(lookupDocument)
	c.putDocument(strings.ReplaceAll(lookupDocument, "lookup", "slow"))
	c.startPlain(standin.Options{ID: "lookup-1", Service: "lookup"})
	c.startPlain(standin.Options{ID: "slow-1", Service: "slow", TokenTime: time.Second})
	c.putDocument(checkerDocument)
	c.startPlain(standin.Options{ID: "checker-1", Service: "checker"})
	sender.sendIdempotent()
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				sender.send(4+i%2, "lookup")
			}
		}
	}()
	for round := range 4 {
		time.Sleep(time.Duration(200+150*round) * time.Millisecond)
		old := c.leader(6)
		c.g.Expect(old).NotTo(BeZero())
		heal := []func(int) func(){c.injectKill, c.injectFreeze}[round%2](old)
		before := len(receiver.View().Reports)
		c.g.Eventually(func() int { return len(receiver.View().Reports) }, 20*time.Second, 20*time.Millisecond).Should(BeNumerically(">", before+1))
		heal()
		c.waitFresh(1, 2, 3)
	}
	close(stop)
	<-stopped
	lastServed := make(chan struct{})
	go func() {
		defer close(lastServed)
		sender.send(4, "slow")
	}()
	time.Sleep(300 * time.Millisecond)
	c.terminate(4) // it ends right after its last response
	<-lastServed
	c.g.Eventually(func() int64 { return reportedRequests(receiver) }, 20*time.Second, 50*time.Millisecond).Should(Equal(sender.served.Load()))
	c.g.Consistently(func() int64 { return reportedRequests(receiver) }, "2500ms", "50ms").Should(Equal(sender.served.Load()))
	c.g.Expect(receiver.View().Violations).To(BeEmpty())
	t.Logf("%d requests, delays of usage reports in seconds: %s", sender.served.Load(), reportDelays(receiver))
}

// reportDelays lists the seconds from the scheduled ends of the usage intervals to their
// first reports. The usage intervals are 1 s long.
func reportDelays(r *standin.Receiver) string {
	var out []string
	for _, d := range r.View().Delays {
		out = append(out, fmt.Sprintf("%.2f", d-1))
	}
	return strings.Join(out, " ")
}

// A killed entry may lose the requests that it has counted since its last commit, but no
// others.
func TestKilledEntryLosesAtMostOneFlushInterval(t *testing.T) {
	receiver := standin.NewReceiver()
	c := &cluster{subnet: int(lastSubnet.Load()) + 21} // newCluster below uses the same subnet
	c = newCluster(t, fmt.Sprintf("\n[platform]\nusage_url = http://%s:9000/usage\nwindow = 1s\n", c.ip(241)))
	c.serveBehindRelay(241, receiver.Handler())
	sender := &requestSender{c: c, key: c.createAccount("owner")}
	c.putDocument(lookupDocument)
	c.startPlain(standin.Options{ID: "lookup-1", Service: "lookup"})
	for range 100 {
		sender.send(5, "lookup")
	}
	committed := sender.served.Load()
	time.Sleep(time.Second) // the flush interval is 250 ms; the rest is for the commit
	for range 20 {
		sender.send(5, "lookup")
	}
	c.kill(5)
	c.g.Eventually(func() int64 { return reportedRequests(receiver) }, 20*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", committed))
	c.g.Consistently(func() int64 { return reportedRequests(receiver) }, "2500ms", "50ms").Should(BeNumerically("<=", sender.served.Load()))
	c.g.Expect(receiver.View().Violations).To(BeEmpty())
}
