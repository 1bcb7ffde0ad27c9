package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// A caller whose key can no longer be checked gets an error at once. Its request, which has
// been sent, runs to its end, and a resent request gets the response.
func TestRequestContinuesAfterItsCallerIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := &fakeFaultyLog{ledger: &fakeLedger{s: state.New()}, nextFault: func() proposalFault { return noFault }}
		r := New(log, "e:1", func(string) bool { return true })
		ctx, cancel := context.WithCancelCause(context.Background())
		run := func(ctx context.Context) (*state.Answer, error) {
			select {
			case <-time.After(time.Minute):
				return &state.Answer{Status: 200, Body: []byte("x")}, nil
			case <-ctx.Done():
				return nil, result.New(result.UpstreamFailed, "cut off")
			}
		}
		time.AfterFunc(time.Second, func() { cancel(result.New(result.FreshnessLost, "frozen")) })
		began := time.Now()
		_, err := r.Run(ctx, claimID, "f", run)
		g.Expect(result.CodeOf(err)).To(Equal(result.FreshnessLost))
		g.Expect(time.Since(began)).To(Equal(time.Second))
		_, err = r.Run(context.Background(), claimID, "f", run)
		g.Expect(result.CodeOf(err)).To(Equal(result.ClaimBusy))
		g.Expect(r.Wait(context.Background())).To(Succeed())
		a, err := r.Run(context.Background(), claimID, "f", run)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(a.Body)).To(Equal("x"))
	})
}
