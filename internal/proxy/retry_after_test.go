package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Guards against callers that come back in vain: without any upstream, the earliest time at
// which one can be known is the next heartbeat of a new one, about a second later. With full
// upstreams a slot is free much sooner.
func TestRetryAfterSaysWhenAnUpstreamMayBeThere(t *testing.T) {
	const heartbeatInterval = time.Second // of the upstreams of the users' platform
	last := &fakeUpstreams{n: 1}
	last.respond = func(context.Context, string, int) (*Answer, error) {
		last.n = 0 // the last upstream leaves with this answer
		return failWith(result.UpstreamBusy)
	}
	full := func(context.Context, string, int) (*Answer, error) { return failWith(result.UpstreamBusy) }
	for _, c := range []struct {
		name      string
		upstreams *fakeUpstreams
		atLeast   time.Duration
		below     time.Duration
	}{
		{"none", &fakeUpstreams{}, heartbeatInterval, 2 * heartbeatInterval},
		{"the last one leaves", last, heartbeatInterval, 2 * heartbeatInterval},
		{"all full", &fakeUpstreams{n: 2, respond: full}, time.Millisecond, heartbeatInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				_, _, err := serve(c.upstreams, idempotentRoute)
				g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
				g.Expect(result.From(err).RetryAfter).To(And(BeNumerically(">=", c.atLeast), BeNumerically("<", c.below)))
			})
		})
	}
}
