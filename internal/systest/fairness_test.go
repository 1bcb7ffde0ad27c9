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

// While one account floods, the requests of another are all answered; those of
// the flood end by a code that tells why, and no answer is mixed up.
func TestFloodHarmsOnlyItsOwnAccount(t *testing.T) {
	c := newCluster(t, "")
	c.account("owner")
	flows := []standin.Flow{
		{Account: "flood", Key: c.account("flood"), Rate: 200, Service: "hint", TokenLimit: 16, Timeout: 2 * time.Second},
		{Account: "quiet", Key: c.account("quiet"), Rate: 10, Service: "hint", TokenLimit: 16, Timeout: 2 * time.Second},
	}
	c.document(hintDocument)
	for _, id := range []string{"engine-1", "engine-2", "engine-3"} {
		c.engine(standin.Options{ID: id, Service: "hint", Concurrency: 4, TokenTime: 20 * time.Millisecond})
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

// The calls that an account gets through over all entries stay within its limit
// for the time and one burst, also while the leader is lost.
func TestLimitHoldsOverAllEntriesAndLeaders(t *testing.T) {
	c := newCluster(t, "")
	flow := standin.Flow{Account: "owner", Key: c.account("owner"), Rate: 200, Service: "checker", Path: "/submit", Timeout: 2 * time.Second}
	c.document(limitedDocument)
	c.plain(standin.Options{ID: "checker-1", Service: "checker"})
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
	c.g.Expect(run()).To(BeNumerically(">", 0), "a new leader grants")
}
