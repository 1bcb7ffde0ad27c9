package systest

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// cachingCaller is a caller that keeps its connections open and uses the addresses from
// /v1/entries until their time to live has passed.
type cachingCaller struct {
	c         *cluster
	client    *http.Client
	key       string
	rnd       *rand.Rand
	addresses []string
	expires   time.Time
	failures  []string
}

// entry returns a random one of the cached addresses, after a refresh if they have expired.
func (cc *cachingCaller) entry() string {
	for time.Now().After(cc.expires) {
		cc.refresh()
	}
	return cc.addresses[cc.rnd.IntN(len(cc.addresses))]
}

// refresh requests the addresses from the entries in random order. An entry that refuses the
// connection is skipped; any other failure is recorded.
func (cc *cachingCaller) refresh() {
	requestedAt := time.Now()
	for _, i := range cc.rnd.Perm(daemons) {
		req, _ := http.NewRequest(http.MethodGet, "http://"+cc.c.entry(i+1)+"/v1/entries", nil)
		r, err := doRequest(cc.client, req)
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			continue
		}
		var body struct {
			Entries []struct {
				Address string `json:"address"`
			} `json:"entries"`
			TTLMS int64 `json:"ttl_ms"`
		}
		if err != nil || json.Unmarshal(r.Body, &body) != nil || len(body.Entries) == 0 {
			cc.failures = append(cc.failures, fmt.Sprintf("entries: %v %s", err, r.Body))
			continue
		}
		cc.addresses = nil
		for _, e := range body.Entries {
			cc.addresses = append(cc.addresses, e.Address)
		}
		cc.expires = requestedAt.Add(time.Duration(body.TTLMS) * time.Millisecond)
		return
	}
}

// send posts request n. The HTTP library cannot rewind its body, so it cannot resend the
// request by itself.
func (cc *cachingCaller) send(n int) {
	body := fmt.Sprint("body ", n)
	req, _ := http.NewRequest(http.MethodPost, "http://"+cc.entry()+"/services/checker/submit", io.NopCloser(strings.NewReader(body)))
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+cc.key)
	r, err := doRequest(cc.client, req)
	if err != nil || r.Status != http.StatusOK || !strings.Contains(string(r.Body), body) {
		cc.failures = append(cc.failures, fmt.Sprintf("%s: %v %s", req.URL.Host, err, r.Body))
	}
}

// Two daemons shut down gracefully at the same time while callers keep their connections
// open, some of them idle, and while streams run that last longer than the draining. No
// request may fail and no stream may be cut.
func TestShutdownOfTwoDaemonsFailsNoRequest(t *testing.T) {
	c := newCluster(t, "")
	key := c.createAccount("owner")
	c.putDocument(idempotentCheckerDocument)
	for i := range 3 {
		c.startPlain(standin.Options{ID: fmt.Sprint("checker-", i+1), Service: "checker", Zone: c.zone(i + 1), Concurrency: 64, TokenTime: 3 * time.Millisecond})
	}
	c.putDocument(hintDocument)
	c.startEngine(standin.Options{ID: "engine-1", Service: "hint", Concurrency: 64, TokenTime: 10 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)
	follower := 1 + c.leader(5)%replicas
	stop := make(chan struct{})
	var wg sync.WaitGroup
	callers := make([]*cachingCaller, 24)
	for n := range callers {
		cc := &cachingCaller{c: c, key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, rnd: rand.New(rand.NewPCG(20261203, uint64(n)))}
		callers[n] = cc
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				cc.send(i)
				pause := 20
				if n%4 == 0 {
					pause = 3000 // the longest pauses exceed the time to live of the addresses
				}
				time.Sleep(time.Duration(cc.rnd.IntN(pause)) * time.Millisecond)
			}
		})
	}
	var waitStreams []func() string
	for _, i := range []int{4, follower} {
		waitStreams = append(waitStreams, c.openLimitedStream(i, key, 1000)) // lasts about 3 to 10 s
	}
	idle := &cachingCaller{c: c, key: key, client: &http.Client{Transport: &http.Transport{}}, addresses: []string{c.entry(4)}, rnd: rand.New(rand.NewPCG(1, 1))}
	sendIdle := func() {
		idle.expires = time.Now().Add(time.Minute)
		idle.send(0)
	}
	time.Sleep(500 * time.Millisecond)
	sendIdle()
	var shutdowns sync.WaitGroup
	for _, i := range []int{4, follower} {
		waitShutdown := c.beginShutdown(i)
		shutdowns.Go(waitShutdown)
	}
	// A request on a connection that was idle until the listener was closed must still get
	// its response.
	c.g.Eventually(func() error {
		conn, err := net.Dial("tcp", c.entry(4))
		if err == nil {
			conn.Close()
		}
		return err
	}, "20s", "10ms").Should(HaveOccurred())
	sendIdle()
	c.g.Expect(idle.failures).To(BeEmpty())
	for _, wait := range waitStreams {
		c.g.Expect(wait()).To(Equal("data: [DONE]"))
	}
	shutdowns.Wait()
	close(stop)
	wg.Wait()
	for _, cc := range callers {
		c.g.Expect(cc.failures).To(BeEmpty())
	}
}

// beginShutdown starts a graceful shutdown of daemon i. The returned function waits for its
// end.
func (c *cluster) beginShutdown(i int) func() {
	p := c.processes[i]
	delete(c.processes, i)
	_ = p.Process.Signal(syscall.SIGTERM)
	return func() { c.g.Expect(p.Wait()).To(Succeed()) }
}
