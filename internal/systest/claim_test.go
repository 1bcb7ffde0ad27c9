package systest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// runs counts by body what upstreams ran.
type runs struct {
	mu sync.Mutex
	by map[string]int
}

func (r *runs) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[body]++
}

func (r *runs) of(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[body]
}

// submit sends a request that is not idempotent to entry i; each time on a
// connection of its own.
func (c *cluster) submit(ctx context.Context, i int, key, idempotency, body string) (standin.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry(i)+"/services/checker/submit", bytes.NewReader([]byte(body)))
	if err != nil {
		return standin.Reply{}, err
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", idempotency)
	return reply(http.DefaultClient, req)
}

func reply(client *http.Client, req *http.Request) (standin.Reply, error) {
	resp, err := client.Do(req)
	if err != nil {
		return standin.Reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return standin.Reply{Status: resp.StatusCode, Header: resp.Header, Body: b}, err
}

// settle resends through entries until the answer is final.
func (c *cluster) settle(entries []int, key, idempotency, body string) standin.Reply {
	for n := 0; ; n++ {
		r, err := c.submit(context.Background(), entries[n%len(entries)], key, idempotency, body)
		if err == nil && r.Header.Get("Retry-After") == "" {
			return r
		}
		if n > 300 {
			return r
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checker starts the plain service with upstreams that count their runs.
func (c *cluster) checker(token time.Duration, upstreams int) *runs {
	r := &runs{by: map[string]int{}}
	c.document(checkerDocument)
	for i := range upstreams {
		u := c.upstream(standin.Options{ID: fmt.Sprint("checker-", i+1), Service: "checker", TokenTime: token, Zone: c.zone(i + 1), Concurrency: 64})
		u.OnRun = r.add
		c.run(u, func() error { return u.Serve(c.ctx(), standin.Plain{Upstream: u}.Handler()) })
	}
	return r
}

// Entries are killed at random points of their requests, replicas and the
// leader among them; callers resend through the others.
func TestKilledEntriesRunARequestAtMostOnce(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	ran := c.checker(10*time.Millisecond, 2)
	c.waitFresh(1, 2, 3, 4, 5, 6)
	rnd := rand.New(rand.NewPCG(20261203, 1))
	for round, victim := range []int{4, 1, 5, c.leader(6)} {
		var others []int
		for i := 1; i <= daemons; i++ {
			if i != victim {
				others = append(others, i)
			}
		}
		replies := make([]standin.Reply, 16)
		var wg sync.WaitGroup
		for n := range replies {
			pause := time.Duration(rnd.IntN(80)) * time.Millisecond
			wg.Go(func() {
				name := fmt.Sprintf("r%d-%d", round, n)
				time.Sleep(pause)
				r, err := c.submit(context.Background(), victim, key, name, name)
				if err != nil || r.Status != http.StatusOK {
					r = c.settle(others, key, name, name)
				}
				replies[n] = r
			})
		}
		time.Sleep(40 * time.Millisecond)
		c.kill(victim)
		wg.Wait()
		for n, r := range replies {
			name := fmt.Sprintf("r%d-%d", round, n)
			c.g.Expect(ran.of(name)).To(BeNumerically("<=", 1), name)
			if r.Status == http.StatusOK {
				c.g.Expect(string(r.Body)).To(ContainSubstring(`"body":"` + name + `"`))
				c.g.Expect(ran.of(name)).To(Equal(1), name)
				continue
			}
			c.g.Expect(r.Code()).To(Equal(result.OutcomeUnknown), "%s: %s", name, r.Body)
		}
		c.start(victim)
		c.waitFresh(victim)
	}
}

// While the first sending runs a resend is told to come back, also when the
// first caller has left or its entry stands still; afterwards it gets the answer.
func TestResendWhileTheFirstSendingRuns(t *testing.T) {
	c := newCluster(t, "")
	key, foreign := c.account("owner"), c.account("other")
	ran := c.checker(time.Second, 1)
	c.waitFresh(4, 5)
	ctx, leave := context.WithCancel(context.Background())
	go func() { _, _ = c.submit(ctx, 5, key, "k", "guess") }()
	c.g.Eventually(func() int { return ran.of("guess") }, "5s", "5ms").Should(Equal(1))
	leave()
	r, err := c.submit(context.Background(), 4, key, "k", "guess")
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(r.Code()).To(Equal(result.ClaimBusy), string(r.Body))
	c.g.Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())

	c.freeze(5) // longer than its heartbeats are believed
	c.g.Eventually(func() result.Code {
		r, _ = c.submit(context.Background(), 4, key, "k", "guess")
		return r.Code()
	}, "10s", "50ms").Should(Equal(result.OutcomeUnknown))
	c.thaw(5)
	c.g.Eventually(func() int {
		r, _ = c.submit(context.Background(), 4, key, "k", "guess")
		return r.Status
	}, "10s", "50ms").Should(Equal(http.StatusOK))
	c.g.Expect(r.Header.Get("Content-Type")).To(Equal("application/json"))
	c.g.Expect(ran.of("guess")).To(Equal(1))

	// Another account under the same idempotency key has a request of its own.
	r, err = c.submit(context.Background(), 4, foreign, "k", "theirs")
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(string(r.Body)).To(ContainSubstring("theirs"))
	c.g.Expect(string(r.Body)).NotTo(ContainSubstring("guess"))
}

// A claim that is lost on the way, or whose request surely did not run, does
// not keep the request from running later.
func TestClaimThatDidNotRunIsReleased(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	c.document(checkerDocument)
	c.waitFresh(5)
	dead := fmt.Sprintf(`{"id":"dead","incarnation":1,"seq":1,"service":"checker","address":"%s:1","zone":"a","class":"regular","concurrency":8,"ttl":1}`, c.ip(200))
	c.g.Eventually(func() result.Code {
		resp, err := http.Post("http://"+c.entry(5)+"/upstream/v1/announce", "application/json", bytes.NewReader([]byte(dead)))
		if err == nil {
			resp.Body.Close()
		}
		r, _ := c.submit(context.Background(), 5, key, "k", "guess")
		return r.Code()
	}, "5s", "50ms").Should(Equal(result.UpstreamUnreached))
	c.isolate(5)
	r, err := c.submit(context.Background(), 5, key, "cut", "cut")
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(r.Code().Info().Class).To(Equal(result.NotRun), string(r.Body))
	c.g.Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
	c.heal(5)
	ran := c.checker(time.Millisecond, 1)
	c.waitFresh(5)
	for _, name := range []string{"k", "cut"} {
		body := map[string]string{"k": "guess", "cut": "cut"}[name]
		r = c.settle([]int{5, 4}, key, name, body)
		c.g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
		c.g.Expect(ran.of(body)).To(Equal(1))
	}
}

// An upstream that dies while it runs the request leaves its outcome unknown:
// it is said so, and no resend runs it on another upstream.
func TestRequestLostWithItsUpstreamIsNotRunAgain(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	ran := &runs{by: map[string]int{}}
	c.document(checkerDocument)
	for i := range 3 {
		u := c.upstream(standin.Options{ID: fmt.Sprint("checker-", i+1), Service: "checker", Zone: c.zone(i + 1)})
		u.OnRun = func(body string) {
			ran.add(body)
			if body == "fatal" {
				u.SimulateCrash()
			}
		}
		c.run(u, func() error { return u.Serve(c.ctx(), standin.Plain{Upstream: u}.Handler()) })
	}
	c.waitFresh(4, 5)
	r, err := c.submit(context.Background(), 4, key, "k", "fatal")
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(r.Code()).To(Equal(result.UpstreamFailed), string(r.Body))
	c.g.Expect(r.Header.Get("Retry-After")).To(BeEmpty())
	for _, i := range []int{4, 5, 1} {
		r, err = c.submit(context.Background(), i, key, "k", "fatal")
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Code()).To(Equal(result.OutcomeUnknown), string(r.Body))
	}
	c.g.Expect(ran.of("fatal")).To(Equal(1))
}
