package systest

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/standin"
)

// lookupRoute is an open idempotent route of checkerDocument's service.
const lookupRoute = `
[route:lookup]
path = /verdicts/
method = GET
idempotent = true
timeout = 2s
access = open
`

// Guards against requests to an upstream after its answer said that it leaves. The entry is
// isolated from all other daemons, and the upstream goes on with announcements that do not
// say so.
func TestIsolatedEntryLeavesAnUpstreamThatSaysSo(t *testing.T) {
	const entry = 5
	c := newCluster(t, "")
	c.createAccount("owner")
	c.putDocument(checkerDocument + lookupRoute)
	u := c.newUpstream(standin.Options{ID: "u1", Service: "checker"})
	c.startUpstream(u, func() error { return u.Serve(c.ctx(), standin.Plain{Upstream: u}.Handler()) })
	get := func() standin.Reply {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+c.entry(entry)+"/services/checker/verdicts/1", nil)
		c.g.Expect(err).NotTo(HaveOccurred())
		r, err := doRequest(http.DefaultClient, req)
		c.g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	c.g.Eventually(func() int { return get().Status }, 10*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
	c.isolate(entry)
	u.SayLeaving()
	r := get()
	c.g.Expect(r.Status).To(Equal(http.StatusOK), "the answer itself is passed on")
	var last standin.PlainResponse
	c.g.Expect(json.Unmarshal(r.Body, &last)).To(Succeed())
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		began := time.Now()
		c.g.Expect(get().Status).To(Equal(http.StatusServiceUnavailable), "the upstream announces itself twice a second meanwhile")
		c.g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "rejected at once")
	}
	successor := c.newUpstream(standin.Options{ID: "u1", Service: "checker"})
	go func() { _ = successor.Serve(c.ctx(), standin.Plain{Upstream: successor}.Handler()) }()
	c.g.Eventually(func() int { return get().Status }, 10*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK), "a new incarnation is a new upstream")
}

// Guards against an answer to an order that says that the engine leaves and is not read. The
// daemon that read it leaves the engine; the others decide by the answers that they get.
func TestAnswerToAnOrderSaysThatTheEngineLeaves(t *testing.T) {
	c := newCluster(t, "")
	key := c.createAccount("owner")
	c.putDocument(hintDocument + "\n[weights]\nstaleness = 1\n")
	for _, id := range []string{"engine-0", "engine-1"} {
		c.startEngine(standin.Options{ID: id, Service: "hint"}).SayLeaving()
	}
	list := func(i int) func() string {
		return func() string {
			return c.runCLI(c.operatorArgs([]string{"upstream", "list"}, []string{c.entry(i)})...)
		}
	}
	listsBoth := And(ContainSubstring("engine-0"), ContainSubstring("engine-1"))
	leader := c.leader(1)
	c.g.Expect(leader).NotTo(BeZero())
	other := leader%daemons + 1
	c.g.Eventually(list(leader), 5*time.Second, 50*time.Millisecond).Should(listsBoth)
	c.g.Eventually(list(other), 5*time.Second, 50*time.Millisecond).Should(listsBoth)
	publisher := standin.Caller{Entries: c.entries(), Key: key}
	r, err := publisher.Publish(context.Background(), "hint", 2)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
	c.g.Eventually(list(leader), 10*time.Second, 50*time.Millisecond).ShouldNot(listsBoth, "the leader sent an order to one of them")
	c.g.Expect(list(other)()).To(listsBoth, "this daemon has had no answer of them")
}
