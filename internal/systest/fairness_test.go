package systest

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/standin"
)

const limitedDocument = checkerDocument + `
[account:owner]
limit = 20
`

// One account sends more requests than the engines can serve. No request of another account
// may fail, the failed requests of the first account must have a result code of overload or
// timeout, and no response may belong to another request.
func TestOverloadAffectsOnlyItsOwnAccount(t *testing.T) {
	c := newCluster(t, "")
	c.createAccount("owner")
	flows := []standin.Flow{
		{Account: "flood", Key: c.createAccount("flood"), Rate: 200, Service: "hint", TokenLimit: 16, Timeout: 2 * time.Second},
		{Account: "quiet", Key: c.createAccount("quiet"), Rate: 10, Service: "hint", TokenLimit: 16, Timeout: 2 * time.Second},
	}
	c.putDocument(hintDocument)
	for _, id := range []string{"engine-1", "engine-2", "engine-3"} {
		c.startEngine(standin.Options{ID: id, Service: "hint", Concurrency: 4, TokenTime: 20 * time.Millisecond})
	}
	load := standin.Load{Entries: c.entries(), Flows: flows, Time: 5 * time.Second, Seed: 1}
	r, err := load.Run(context.Background())
	c.g.Expect(err).NotTo(HaveOccurred())
	flood, quiet := r.Accounts[0], r.Accounts[1]
	c.g.Expect(quiet.Rejected).To(BeEmpty())
	c.g.Expect(r.Wrong).To(BeZero())
	c.g.Expect(flood.Rejected).To(HaveKey(result.DeadlineUnmet))
	for code := range flood.Rejected {
		c.g.Expect(code).To(BeElementOf(result.Overloaded, result.DeadlineUnmet, result.UpstreamTimeout))
	}
}

// The successful requests of an account over all entries must stay within its rate limit
// plus one burst, also after the leader has been frozen.
func TestRateLimitHoldsAcrossEntriesAndLeaders(t *testing.T) {
	c := newCluster(t, "")
	flow := standin.Flow{Account: "owner", Key: c.createAccount("owner"), Rate: 200, Service: "checker", Path: "/submit", Timeout: 2 * time.Second}
	c.putDocument(limitedDocument)
	c.startPlain(standin.Options{ID: "checker-1", Service: "checker"})
	began := time.Now()
	answered := 0
	run := func() int {
		load := standin.Load{Entries: c.entries(), Flows: []standin.Flow{flow}, Time: 5 * time.Second, Seed: 1}
		r, err := load.Run(context.Background())
		c.g.Expect(err).NotTo(HaveOccurred())
		answered += r.Accounts[0].Answered
		return r.Accounts[0].Answered
	}
	run()
	go func() {
		time.Sleep(time.Second)
		c.freeze(c.leader(4))
	}()
	run()
	c.g.Expect(answered).To(BeNumerically("<=", 20*(time.Since(began).Seconds()+1)))
	c.g.Expect(run()).To(BeNumerically(">", 0), "the new leader grants no requests")
}
