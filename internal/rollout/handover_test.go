package rollout

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/state"
)

// fakeDelayedLog is a control log that delays the replies to proposals until release is
// closed.
type fakeDelayedLog struct {
	control.Log
	release chan struct{}
}

func (l fakeDelayedLog) Propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	out, err := l.Log.Propose(ctx, c)
	<-l.release
	return out, err
}

// A trainer may send a request to the next owner of a step, directly or through another
// entry, when the move is committed but the next owner has not received the reply yet. The
// request must wait, so that the trainer doesn't have to reopen the step.
func TestFetchWaitsDuringAdoption(t *testing.T) {
	fetchers := map[string]func(*Manager, context.Context, FetchRequest) (FetchResponse, error){
		"at the next owner":     (*Manager).FetchSamples,
		"through another entry": (*Manager).fetch,
	}
	for name, fetch := range fetchers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				sim := newSimCluster(nil)
				sim.noFaults = true
				from, to := sim.owners[0], sim.owners[1]
				release := make(chan struct{})
				to.controlLog = fakeDelayedLog{sim, release}
				handedOver, fetched := make(chan error, 1), make(chan error, 1)
				go func() {
					handedOver <- from.find("a/x").handOver(func(x Transfer) error {
						_, err := to.adopt(t.Context(), x)
						return err
					})
				}()
				synctest.Wait()
				g.Expect(sim.log.StepView("a/x").Owner).To(Equal(to.owner))
				go func() {
					_, err := fetch(to, t.Context(), sim.request())
					fetched <- err
				}()
				synctest.Wait()
				close(release)
				g.Expect(<-handedOver).To(Succeed())
				g.Expect(<-fetched).To(Succeed())
			})
		})
	}
}
