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

// maxWithdrawTime is the maximum time until the streams of a withdrawn key have ended on
// every entry. The requirement is "within seconds".
const maxWithdrawTime = 4 * time.Second

const openDocument = hintDocument + `
[route:open]
path = /v1/open/chat/completions
access = open
idempotent = true
`

// openStream opens a stream of at most 100,000 tokens at entry i. The returned function waits
// for its end and returns its last line.
func (c *cluster) openStream(i int, key string) func() string {
	return c.openLimitedStream(i, key, 100000)
}

// openLimitedStream is openStream with at most the given number of tokens.
func (c *cluster) openLimitedStream(i int, key string, tokens int) func() string {
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

// startHintService starts the model service with one engine and waits until all entries are
// fresh.
func (c *cluster) startHintService() {
	c.putDocument(hintDocument)
	c.startEngine(standin.Options{ID: "engine-1", Service: "hint", Concurrency: 64, TokenTime: 5 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)
}

// complete requests a completion of at most 2 tokens at entry i.
func (c *cluster) complete(i int, key string) standin.Reply {
	return c.post(i, key, "/services/hint/v1/chat/completions", `{"model":"hint","messages":[],"max_tokens":2}`)
}

// post sends a POST request to entry i, without a key if key is empty.
func (c *cluster) post(i int, key, path, body string) standin.Reply {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.entry(i)+path, strings.NewReader(body))
	c.g.Expect(err).NotTo(HaveOccurred())
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	r, err := doRequest(http.DefaultClient, req)
	c.g.Expect(err).NotTo(HaveOccurred())
	return r
}

// After a key has been withdrawn, its streams must end on all entries and its new requests
// must be rejected. Other keys must keep working.
func TestWithdrawnKeyIsRejectedOnAllEntries(t *testing.T) {
	c := newCluster(t, "")
	withdrawnKey, otherKey := c.createAccount("owner"), c.createAccount("other")
	c.startHintService()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var worst time.Duration
	withdrawnAt := make(chan time.Time, 1)
	ends := map[int]string{}
	for i := 1; i <= daemons; i++ {
		for range 3 {
			wait := c.openStream(i, withdrawnKey)
			wg.Go(func() {
				end := wait()
				at := <-withdrawnAt
				withdrawnAt <- at
				mu.Lock()
				defer mu.Unlock()
				ends[i] = end
				worst = max(worst, time.Since(at))
			})
		}
	}
	waitOther := c.openStream(4, otherKey)
	withdrawnAt <- time.Now()
	for _, line := range strings.Split(c.runOperator("key", "list"), "\n") {
		if strings.Contains(line, "owner") {
			c.runOperator("key", "withdraw", strings.Fields(line)[0])
		}
	}
	wg.Wait()
	t.Logf("the last of 18 streams on 6 entries ended %v after the start of the withdrawal", worst)
	c.g.Expect(worst).To(BeNumerically("<", maxWithdrawTime))
	for i := 1; i <= daemons; i++ {
		c.g.Expect(ends[i]).To(ContainSubstring("key-withdrawn"))
		c.g.Expect(c.complete(i, withdrawnKey).Code()).To(Equal(result.KeyUnknown))
		c.g.Expect(c.complete(i, otherKey).Status).To(Equal(http.StatusOK))
	}
	ended := make(chan string, 1)
	go func() { ended <- waitOther() }()
	c.g.Consistently(ended, "300ms").ShouldNot(Receive())
}

// An isolated entry cannot check keys. It must end keyed streams, reject new keyed requests
// as not run and leave the address lists. Open routes must keep working.
func TestIsolatedEntryRejectsKeys(t *testing.T) {
	c := newCluster(t, "")
	key := c.createAccount("owner")
	c.putDocument(openDocument)
	c.startEngine(standin.Options{ID: "engine-1", Service: "hint", Concurrency: 64, TokenTime: 5 * time.Millisecond})
	c.waitFresh(1, 2, 3, 4, 5, 6)
	c.waitOthersFreshAt(5)
	end := c.openStream(5, key)
	c.isolate(5)
	c.g.Expect(end()).To(ContainSubstring("freshness-lost"))
	r := c.complete(5, key)
	c.g.Expect(r.Code()).To(Equal(result.NotFresh))
	c.g.Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
	listed := func(i int) func() string {
		return func() string {
			req, _ := http.NewRequest(http.MethodGet, "http://"+c.entry(i)+"/v1/entries", nil)
			r, err := doRequest(http.DefaultClient, req)
			c.g.Expect(err).NotTo(HaveOccurred())
			return string(r.Body)
		}
	}
	c.g.Eventually(listed(5), "2s", "50ms").ShouldNot(ContainSubstring(c.entry(5)))
	c.g.Eventually(listed(4), "10s", "50ms").ShouldNot(ContainSubstring(c.entry(5)))
	// The engine announces itself to all entries in turn, so the isolated entry still gets
	// announcements directly.
	c.g.Expect(c.post(5, "", "/services/hint/v1/open/chat/completions", `{}`).Code()).NotTo(Equal(result.NotFresh))
	c.heal(5)
	c.waitFresh(5)
	c.g.Eventually(func() int { return c.complete(5, key).Status }, "10s", "50ms").Should(Equal(http.StatusOK))
	c.g.Eventually(listed(4), "10s", "50ms").Should(ContainSubstring(c.entry(5)))
}
