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

// keeper is a caller that keeps its connections and each answer of /v1/entries
// for its lifetime.
type keeper struct {
	c      *cluster
	client *http.Client
	key    string
	rnd    *rand.Rand
	list   []string
	until  time.Time
	failed []string
}

// entry returns an address that the system named and that still holds.
func (k *keeper) entry() string {
	for time.Now().After(k.until) {
		k.refresh()
	}
	return k.list[k.rnd.IntN(len(k.list))]
}

// refresh asks the entries for addresses. One that refuses the connection is
// passed over; any other failure counts.
func (k *keeper) refresh() {
	asked := time.Now()
	for _, i := range k.rnd.Perm(daemons) {
		req, _ := http.NewRequest(http.MethodGet, "http://"+k.c.entry(i+1)+"/v1/entries", nil)
		r, err := reply(k.client, req)
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
			k.failed = append(k.failed, fmt.Sprintf("entries: %v %s", err, r.Body))
			continue
		}
		k.list = nil
		for _, e := range body.Entries {
			k.list = append(k.list, e.Address)
		}
		k.until = asked.Add(time.Duration(body.TTLMS) * time.Millisecond)
		return
	}
}

// send posts a body that the HTTP library cannot send again by itself.
func (k *keeper) send(n int) {
	body := fmt.Sprint("body ", n)
	req, _ := http.NewRequest(http.MethodPost, "http://"+k.entry()+"/services/checker/submit", io.NopCloser(strings.NewReader(body)))
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+k.key)
	r, err := reply(k.client, req)
	if err != nil || r.Status != http.StatusOK || !strings.Contains(string(r.Body), body) {
		k.failed = append(k.failed, fmt.Sprintf("%s: %v %s", req.URL.Host, err, r.Body))
	}
}

// Two daemons shut down together under callers that keep their connections, some
// of them quiet for a while, and under streams that outlast the draining.
func TestShutdownOfTwoDaemonsCutsNothing(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	c.document(idempotentChecker)
	for i := range 3 {
		c.plain(standin.Options{ID: fmt.Sprint("checker-", i+1), Service: "checker", Zone: c.zone(i + 1), Concurrency: 64, TokenTime: 3 * time.Millisecond})
	}
	c.document(hintDocument)
	c.engine(standin.Options{ID: "engine-1", Service: "hint", Concurrency: 64, TokenTime: 10 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)
	follower := 1 + c.leader(5)%replicas
	stop := make(chan struct{})
	var wg sync.WaitGroup
	keepers := make([]*keeper, 24)
	for n := range keepers {
		k := &keeper{c: c, key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, rnd: rand.New(rand.NewPCG(20261203, uint64(n)))}
		keepers[n] = k
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				k.send(i)
				pause := 20
				if n%4 == 0 {
					pause = 3000 // longer than an address lives
				}
				time.Sleep(time.Duration(k.rnd.IntN(pause)) * time.Millisecond)
			}
		})
	}
	var ends []func() string
	for _, i := range []int{4, follower} {
		ends = append(ends, c.streamOf(i, key, 1000)) // some 3 to 10 s
	}
	quiet := &keeper{c: c, key: key, client: &http.Client{Transport: &http.Transport{}}, list: []string{c.entry(4)}, rnd: rand.New(rand.NewPCG(1, 1))}
	ask := func() {
		quiet.until = time.Now().Add(time.Minute)
		quiet.send(0)
	}
	time.Sleep(500 * time.Millisecond)
	ask()
	var down sync.WaitGroup
	for _, i := range []int{4, follower} {
		p := c.stopGently(i)
		down.Go(p)
	}
	// A caller that kept its connection quiet until the listener is closed is
	// still answered there.
	c.g.Eventually(func() error {
		conn, err := net.Dial("tcp", c.entry(4))
		if err == nil {
			conn.Close()
		}
		return err
	}, "20s", "10ms").Should(HaveOccurred())
	ask()
	c.g.Expect(quiet.failed).To(BeEmpty())
	for _, end := range ends {
		c.g.Expect(end()).To(Equal("data: [DONE]"))
	}
	down.Wait()
	close(stop)
	wg.Wait()
	for _, k := range keepers {
		c.g.Expect(k.failed).To(BeEmpty())
	}
}

// stopGently asks daemon i to shut down; the returned function waits for that.
func (c *cluster) stopGently(i int) func() {
	p := c.proc[i]
	delete(c.proc, i)
	_ = p.Process.Signal(syscall.SIGTERM)
	return func() { c.g.Expect(p.Wait()).To(Succeed()) }
}
