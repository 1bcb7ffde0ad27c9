package systest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// withdrawTarget bounds the time until a withdrawn key has stopped working on
// every entry: "within seconds".
const withdrawTarget = 4 * time.Second

const openDocument = hintDocument + `
[route:open]
path = /v1/open/chat/completions
access = open
idempotent = true
`

// stream opens a long completion at entry i. The returned function waits for
// its end and gives the last event.
func (c *cluster) stream(i int, key string) func() string { return c.streamOf(i, key, 100000) }

func (c *cluster) streamOf(i int, key string, tokens int) func() string {
	c.t.Helper()
	body := fmt.Sprintf(`{"model":"hint","messages":[],"max_tokens":%d,"stream":true}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entry(i)+"/services/hint/v1/chat/completions", strings.NewReader(body))
	c.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	sc := bufio.NewScanner(resp.Body)
	c.g.Expect(sc.Scan()).To(BeTrue())
	return func() string {
		defer resp.Body.Close()
		last := ""
		for sc.Scan() {
			if sc.Text() != "" {
				last = sc.Text()
			}
		}
		return last
	}
}

func (c *cluster) hints() {
	c.document(hintDocument)
	c.engine(standin.Options{ID: "engine-1", Service: "hint", Concurrency: 64, TokenTime: 5 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)
}

// complete asks entry i for a short completion.
func (c *cluster) complete(i int, key string) standin.Reply {
	return c.ask(i, key, "/services/hint/v1/chat/completions", `{"model":"hint","messages":[],"max_tokens":2}`)
}

func (c *cluster) ask(i int, key, path, body string) standin.Reply {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.entry(i)+path, strings.NewReader(body))
	c.g.Expect(err).NotTo(HaveOccurred())
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	r, err := reply(http.DefaultClient, req)
	c.g.Expect(err).NotTo(HaveOccurred())
	return r
}

// A withdrawn key ends the streams that run under it, on all entries, and opens
// no new request; other keys go on.
func TestWithdrawnKeyStopsOnAllEntries(t *testing.T) {
	c := newCluster(t, "")
	victim, other := c.account("owner"), c.account("other")
	c.hints()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var worst time.Duration
	withdrawn := make(chan time.Time, 1)
	ends := map[int]string{}
	for i := 1; i <= daemons; i++ {
		for range 3 {
			wait := c.stream(i, victim)
			wg.Go(func() {
				end := wait()
				at := <-withdrawn
				withdrawn <- at
				mu.Lock()
				defer mu.Unlock()
				ends[i] = end
				worst = max(worst, time.Since(at))
			})
		}
	}
	spared := c.stream(4, other)
	withdrawn <- time.Now()
	for _, line := range strings.Split(c.op("key", "list"), "\n") {
		if strings.Contains(line, "owner") {
			c.op("key", "withdraw", strings.Fields(line)[0])
		}
	}
	wg.Wait()
	t.Logf("worst of 18 streams on 6 entries ended %v after the order to withdraw", worst)
	c.g.Expect(worst).To(BeNumerically("<", withdrawTarget))
	for i := 1; i <= daemons; i++ {
		c.g.Expect(ends[i]).To(ContainSubstring("key-withdrawn"))
		c.g.Expect(c.complete(i, victim).Code()).To(Equal(result.KeyUnknown))
		c.g.Expect(c.complete(i, other).Status).To(Equal(http.StatusOK))
	}
	ended := make(chan string, 1)
	go func() { ended <- spared() }()
	c.g.Consistently(ended, "300ms").ShouldNot(Receive())
}

// An isolated entry cannot check keys: it ends keyed streams, refuses new keyed
// requests as not run and leaves the address list; open routes go on.
func TestIsolatedEntryRefusesKeys(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	c.document(openDocument)
	c.engine(standin.Options{ID: "engine-1", Service: "hint", Concurrency: 64, TokenTime: 5 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)
	end := c.stream(5, key)
	c.isolate(5)
	c.g.Expect(end()).To(ContainSubstring("freshness-lost"))
	r := c.complete(5, key)
	c.g.Expect(r.Code()).To(Equal(result.NotFresh))
	c.g.Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
	listed := func(i int) func() string {
		return func() string {
			req, _ := http.NewRequest(http.MethodGet, "http://"+c.entry(i)+"/v1/entries", nil)
			r, err := reply(http.DefaultClient, req)
			c.g.Expect(err).NotTo(HaveOccurred())
			return string(r.Body)
		}
	}
	c.g.Eventually(listed(5), "2s", "50ms").ShouldNot(ContainSubstring(c.entry(5)))
	c.g.Eventually(listed(4), "10s", "50ms").ShouldNot(ContainSubstring(c.entry(5)))
	// The engine announces itself to other entries too: the isolated one hears
	// of it as long as it is told directly.
	c.g.Expect(c.ask(5, "", "/services/hint/v1/open/chat/completions", `{}`).Code()).NotTo(Equal(result.NotFresh))
	c.heal(5)
	c.waitFresh(5)
	c.g.Eventually(func() int { return c.complete(5, key).Status }, "10s", "50ms").Should(Equal(http.StatusOK))
	c.g.Eventually(listed(4), "10s", "50ms").Should(ContainSubstring(c.entry(5)))
}
