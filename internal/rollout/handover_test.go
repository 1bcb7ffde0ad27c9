package rollout

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/state"
)

// lateAnswers is a control log whose answers to commands come late.
type lateAnswers struct {
	control.Log
	answer chan struct{}
}

func (l lateAnswers) Propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	out, err := l.Log.Propose(ctx, c)
	<-l.answer
	return out, err
}

// The trainer asks the next owner of a step, directly or through another entry,
// after the move is committed and before the next owner knows it: the request
// waits, and the trainer need not open the step again.
func TestRequestsDuringAHandOverWait(t *testing.T) {
	ask := map[string]func(*Manager, context.Context, FetchRequest) (FetchResponse, error){
		"at the next owner":     (*Manager).FetchSamples,
		"through another entry": (*Manager).take,
	}
	for name, take := range ask {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := newWorld(nil)
				w.calm = true
				from, to := w.owners[0], w.owners[1]
				answer := make(chan struct{})
				to.commit = lateAnswers{w, answer}
				moved, taken := make(chan error, 1), make(chan error, 1)
				go func() {
					moved <- from.find("a/x").handOver(func(x Transfer) error {
						_, err := to.adopt(t.Context(), x)
						return err
					})
				}()
				synctest.Wait()
				g.Expect(w.log.StepView("a/x").Owner).To(Equal(to.owner))
				go func() {
					_, err := take(to, t.Context(), w.request())
					taken <- err
				}()
				synctest.Wait()
				close(answer)
				g.Expect(<-moved).To(Succeed())
				g.Expect(<-taken).To(Succeed())
			})
		})
	}
}
