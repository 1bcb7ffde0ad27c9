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

// traffic sends requests to entries and counts those that were served.
type traffic struct {
	c      *cluster
	key    string
	served atomic.Int64
}

// send asks entry i for service until one request has been served.
func (x *traffic) send(i int, service string) {
	x.c.g.Eventually(func() int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+x.c.entry(i)+"/services/"+service+"/get", nil)
		req.Header.Set("Authorization", "Bearer "+x.key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}, 20*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
	x.served.Add(1)
}

// resend sends one request that runs once through three entries: it counts once.
func (x *traffic) resend() {
	for _, i := range []int{4, 6, 1} {
		caller := standin.Caller{Entries: []string{x.c.entry(i)}, Key: x.key}
		x.c.g.Eventually(func() int {
			r, _ := caller.Do(context.Background(), http.MethodPost, "/services/checker/submit", []byte("guess"), http.Header{"Idempotency-Key": {"k1"}})
			return r.Status
		}, 20*time.Second, 20*time.Millisecond).Should(Equal(http.StatusOK))
	}
	x.served.Add(1)
}

func reported(r *standin.Receiver) int64 {
	n := int64(0)
	for _, w := range r.View().Reports {
		for _, u := range w.Items {
			n += u.Requests
		}
	}
	return n
}

// Leaders are killed and frozen while they report to a receiver that fails and
// loses answers. Nothing is lost or counted twice: entries that end gracefully
// lose nothing, and the killed and frozen ones had nothing to commit.
func TestUsageIsReportedOnceThroughFailures(t *testing.T) {
	receiver := standin.NewReceiver()
	receiver.FailEvery, receiver.LoseEvery = 5, 3
	c := &cluster{net: int(nets.Load()) + 21}
	c = newCluster(t, fmt.Sprintf("\n[platform]\nusage_url = http://%s:9000/usage\nwindow = 1s\n\n[timing]\ndrain_time = 0s\naddress_ttl = 100ms\n", c.ip(241)))
	c.outside(241, receiver.Handler())
	x := &traffic{c: c, key: c.account("owner")}
	c.document(lookupDocument)
	c.document(strings.ReplaceAll(lookupDocument, "lookup", "slow"))
	c.plain(standin.Options{ID: "lookup-1", Service: "lookup"})
	c.plain(standin.Options{ID: "slow-1", Service: "slow", TokenTime: time.Second})
	c.document(checkerDocument)
	c.plain(standin.Options{ID: "checker-1", Service: "checker"})
	x.resend()
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				x.send(4+i%2, "lookup")
			}
		}
	}()
	for round := range 4 {
		time.Sleep(time.Duration(200+150*round) * time.Millisecond)
		old := c.leader(6)
		c.g.Expect(old).NotTo(BeZero())
		heal := []func(int) func(){c.killed, c.frozen}[round%2](old)
		before := len(receiver.View().Reports)
		c.g.Eventually(func() int { return len(receiver.View().Reports) }, 20*time.Second, 20*time.Millisecond).Should(BeNumerically(">", before+1))
		heal()
		c.waitFresh(1, 2, 3)
	}
	close(stop)
	<-stopped
	last := make(chan struct{})
	go func() {
		defer close(last)
		x.send(4, "slow")
	}()
	time.Sleep(300 * time.Millisecond)
	c.terminate(4) // it ends right after its last answer
	<-last
	c.g.Eventually(func() int64 { return reported(receiver) }, 20*time.Second, 50*time.Millisecond).Should(Equal(x.served.Load()))
	c.g.Consistently(func() int64 { return reported(receiver) }, "2500ms", "50ms").Should(Equal(x.served.Load()))
	c.g.Expect(receiver.View().Violations).To(BeEmpty())
	t.Logf("%d requests, delays of reports %s", x.served.Load(), delays(receiver))
}

// delays lists the seconds from the scheduled ends of the windows to their
// first reports.
func delays(r *standin.Receiver) string {
	var out []string
	for _, d := range r.View().Delays {
		out = append(out, fmt.Sprintf("%.2f", d-1))
	}
	return strings.Join(out, " ")
}

// A killed entry loses what it counted since its last commit, and no more.
func TestKilledEntryLosesOneFlushInterval(t *testing.T) {
	receiver := standin.NewReceiver()
	c := &cluster{net: int(nets.Load()) + 21}
	c = newCluster(t, fmt.Sprintf("\n[platform]\nusage_url = http://%s:9000/usage\nwindow = 1s\n", c.ip(241)))
	c.outside(241, receiver.Handler())
	x := &traffic{c: c, key: c.account("owner")}
	c.document(lookupDocument)
	c.plain(standin.Options{ID: "lookup-1", Service: "lookup"})
	for range 100 {
		x.send(5, "lookup")
	}
	kept := x.served.Load()
	time.Sleep(time.Second) // the interval is 250 ms; the rest is for the commit
	for range 20 {
		x.send(5, "lookup")
	}
	c.kill(5)
	c.g.Eventually(func() int64 { return reported(receiver) }, 20*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", kept))
	c.g.Consistently(func() int64 { return reported(receiver) }, "2500ms", "50ms").Should(BeNumerically("<=", x.served.Load()))
	c.g.Expect(receiver.View().Violations).To(BeEmpty())
}
