package systest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/standin"
)

// tokenCounts is the number of tokens by weight version.
type tokenCounts map[uint64]int

// countTokens counts the tokens of samples by the weight version in their segments.
func countTokens(samples map[[2]int]rollout.Sample) tokenCounts {
	out := tokenCounts{}
	for _, s := range samples {
		for _, g := range s.Segments {
			out[g.Version] += g.Tokens
		}
	}
	return out
}

// Weight versions are published while samples run, one engine fails every load, and later
// the staleness bound is lowered. No delivered sample may be older than the bound, and the
// tokens of the failing engine must have the label of the version that it still runs.
func TestWeightsChangeDuringStep(t *testing.T) {
	c := newCluster(t, "")
	tr := trainer{c: c, key: c.createAccount("owner")}
	c.putDocument(hintDocument + "\n[weights]\nstaleness = 1\n")
	store := httptest.NewServer(standin.NewStore(1<<20, 16<<20).Handler())
	defer store.Close()
	for i := range 4 {
		o := standin.Options{ID: fmt.Sprint("engine-", i), Service: "hint", TokenTime: 4 * time.Millisecond, Zone: c.zone(i + 1), Store: store.URL}
		if i == 3 {
			o.FailLoads = 1 << 20
		}
		c.startEngine(o)
	}
	publisher := standin.Caller{Entries: c.entries(), Key: tr.key}
	publish := func(v uint64) {
		r, err := publisher.Publish(context.Background(), "hint", v)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
	}
	// oldest is the oldest version that a delivered sample may have, according to the
	// staleness bound and the versions that were published before the step was opened.
	oldest := uint64(0)
	tr.onSample = func(s rollout.Sample) {
		c.g.Expect(s.OldestVersion()).To(BeNumerically(">=", oldest))
	}
	tr.run(stepRequest("swaps", 24, 8, 32), func(n int) {
		switch n {
		case 32:
			publish(2)
		case 64:
			publish(3)
		}
	})
	t.Log("tokens by version:", countTokens(tr.samples))
	c.g.Expect(len(countTokens(tr.samples))).To(BeNumerically(">", 1))

	// From here on only samples of version 3 and newer may be delivered.
	c.putDocument(hintDocument + "\n[weights]\nstaleness = 0\n")
	oldest = 3
	tr.run(stepRequest("strict", 8, 8, 32), func(int) {})
	c.g.Expect(countTokens(tr.samples)).To(HaveLen(1))
}
