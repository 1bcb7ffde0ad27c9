package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// stubSlots is a Slots with a fixed number of slots.
type stubSlots struct{ n atomic.Int32 }

func (f *stubSlots) Slots(string, int) int { return int(f.n.Load()) }

func newStubSlots(n int32) *stubSlots {
	f := &stubSlots{}
	f.n.Store(n)
	return f
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := NewFairAdmitter(newStubSlots(1))
		done, err := f.Admit(t.Context(), RequestInfo{Service: "s", Account: "a", Cost: 1})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = f.Admit(ctx, RequestInfo{Service: "s", Account: "a", Cost: 1})
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		done(1)
		done(1) // a second call must not free a second slot
		_, err = f.Admit(t.Context(), RequestInfo{Service: "s", Account: "a", Cost: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.services["s"].queue.InFlight()).To(Equal(1))
		g.Expect(f.services["s"].waiters).To(BeEmpty())
	})
}

// When a service loses its last upstream, queued requests must be rejected at once and
// not near their deadlines.
func TestQueuedRequestsAreRejectedWhenNoUpstreamIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		slots := newStubSlots(1)
		f := NewFairAdmitter(slots)
		_, err := f.Admit(t.Context(), RequestInfo{Service: "s", Cost: 1})
		g.Expect(err).NotTo(HaveOccurred())
		decision := make(chan error, 1)
		go func() {
			_, err := f.Admit(t.Context(), RequestInfo{Service: "s", Cost: 1, Deadline: time.Now().Add(time.Minute)})
			decision <- err
		}()
		synctest.Wait()
		slots.n.Store(0)
		f.Tick()
		err = <-decision
		g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
		g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
		_, err = f.Admit(t.Context(), RequestInfo{Service: "s", Cost: 1})
		g.Expect(result.CodeOf(err)).To(Equal(result.NoUpstream))
	})
}

func TestGrantGrowsIntoFreeSlotsAndShrinks(t *testing.T) {
	g := NewWithT(t)
	var x grant
	now := epoch
	n := 0
	for range 40 { // the only busy one of six entries
		now = now.Add(grantInterval)
		n = x.slots(now, 72, n, n, 1.0/6)
	}
	g.Expect(n).To(BeNumerically(">=", 60))
	for range 40 { // the other five entries use their equal parts
		now = now.Add(grantInterval)
		n = x.slots(now, 72, 60+n, n, 1.0/6)
	}
	g.Expect(n).To(Equal(12))
	g.Expect(x.slots(now, 0, 0, 0, 1.0/6)).To(Equal(0))
}
