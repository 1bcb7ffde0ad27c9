package systest

import (
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/rollout"
	"github.com/apricotstream/apricotstream/internal/standin"
)

const checkerDocument = `[service]
name = checker
kind = plain
owner = owner

[route:submit]
path = /submit
`

const hintDocument = `[service]
name = hint
kind = model
owner = owner

[route:chat]
path = /v1/chat/completions
idempotent = true
`

// A request is served from end to end, and a resend through another entry gets
// the kept answer.
func TestPathFromCallerToUpstream(t *testing.T) {
	c := newCluster(t, "")
	key := c.account("owner")
	c.document(checkerDocument)
	c.document(hintDocument)
	c.plain(standin.Options{ID: "checker-1", Service: "checker"})
	c.engine(standin.Options{ID: "engine-1", Service: "hint"})
	header := http.Header{"Idempotency-Key": {"k1"}}
	var bodies []string
	for _, zone := range []string{"a", "b", "c"} {
		caller := standin.Caller{Entries: c.entries(), Zone: zone, Key: key}
		c.g.Eventually(func(g Gomega) {
			r, err := caller.Do(context.Background(), http.MethodPost, "/services/checker/submit", []byte("guess"), header)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Status).To(Equal(http.StatusOK), string(r.Body))
			bodies = append(bodies, string(r.Body))
		}, "5s", "50ms").Should(Succeed())
		r, err := caller.Complete(context.Background(), "hint", "p", 8)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Versions).To(Equal([]uint64{1}))
	}
	c.g.Expect(bodies).To(HaveEach(bodies[0]))
	c.g.Expect(bodies[0]).NotTo(ContainSubstring(key))
}

// A step and the weights of a service belong to its owner's account: another
// account's key gets neither, whatever it names.
func TestStepBelongsToItsAccount(t *testing.T) {
	c := newCluster(t, "")
	owner, other := c.account("owner"), c.account("other")
	c.document(hintDocument)
	c.engine(standin.Options{ID: "engine-1", Service: "hint"})
	trainer := standin.Caller{Entries: c.entries(), Key: owner}
	seen := 0
	c.g.Expect(trainer.RunStep(context.Background(), "hint", stepRequest("s", 1, 2, 4), func(rollout.Sample) { seen++ })).To(Succeed())
	c.g.Expect(seen).To(Equal(2))
	foreign := standin.Caller{Entries: c.entries(), Key: other}
	open := []byte(`{"id":"s","attempt":9,"samples_per_group":1,"max_tokens":4,"groups":[{"messages":[]}]}`)
	for _, try := range []struct {
		method, path string
		body         []byte
		want         result.Code
	}{
		{http.MethodGet, "/v1/steps/s/samples?attempt=1&after=0", nil, result.StepUnknown},
		{http.MethodGet, "/v1/steps/owner%2Fs/samples?attempt=1&after=0", nil, result.StepUnknown},
		{http.MethodPost, "/v1/services/hint/steps", open, result.NotOwner},
		{http.MethodPost, "/v1/services/hint/weights", []byte(`{"version":2}`), result.NotOwner},
	} {
		r, err := foreign.Do(context.Background(), try.method, try.path, try.body, nil)
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(r.Code()).To(Equal(try.want), "%s %s: %s", try.method, try.path, r.Body)
	}
}
