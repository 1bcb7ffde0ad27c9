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

// labels counts tokens as the samples name them.
type labels map[uint64]int // tokens by version

func labelsOf(samples map[[2]int]rollout.Sample) labels {
	out := labels{}
	for _, s := range samples {
		for _, g := range s.Segments {
			out[g.Version] += g.Tokens
		}
	}
	return out
}

// A version is published while samples run, one engine refuses every swap, and
// the staleness bound is lowered: no sample is older than the bound when it is
// delivered, and the engine that failed is labelled with what it truly runs.
func TestWeightsChangeUnderAStep(t *testing.T) {
	c := newCluster(t, "")
	x := trainer{c: c, key: c.account("owner")}
	c.document(hintDocument + "\n[weights]\nstaleness = 1\n")
	store := httptest.NewServer(standin.NewStore(1<<20, 16<<20).Handler())
	defer store.Close()
	for i := range 4 {
		o := standin.Options{ID: fmt.Sprint("engine-", i), Service: "hint", TokenTime: 4 * time.Millisecond, Zone: c.zone(i + 1), Store: store.URL}
		if i == 3 {
			o.FailLoads = 1 << 20
		}
		c.engine(o)
	}
	publisher := standin.Caller{Entries: c.entries(), Key: x.key}
	publish := func(v uint64) {
		r, err := publisher.Publish(context.Background(), "hint", v)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
	}
	oldest := uint64(0) // allowed by what was published before the last request
	x.each = func(s rollout.Sample) {
		c.g.Expect(s.OldestVersion()).To(BeNumerically(">=", oldest))
	}
	x.run(stepRequest("swaps", 24, 8, 32), func(n int) {
		switch n {
		case 32:
			publish(2)
		case 64:
			publish(3)
		}
	})
	t.Log("tokens by version:", labelsOf(x.seen))
	c.g.Expect(len(labelsOf(x.seen))).To(BeNumerically(">", 1))

	// From here on only version 3 and newer may be delivered.
	c.document(hintDocument + "\n[weights]\nstaleness = 0\n")
	oldest = 3
	x.run(stepRequest("strict", 8, 8, 32), func(int) {})
	c.g.Expect(labelsOf(x.seen)).To(HaveLen(1))
}
