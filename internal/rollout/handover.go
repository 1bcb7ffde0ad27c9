package rollout

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// errHandedOver is returned to requests that wait on a step when it is handed over.
var errHandedOver = errors.New("rollout: the step was handed over")

// adoptTimeout is the timeout of one MethodAdopt call.
const adoptTimeout = 5 * time.Second

// Transfer moves a step from an owner that shuts down to the next owner, so that the
// trainer doesn't have to reopen it.
type Transfer struct {
	Step    state.Step     `json:"step"`
	Request EncodedRequest `json:"request"`
	Acked   int            `json:"acked"`
	Samples []SlotSample   `json:"bodies"` // generated and not acknowledged by the trainer
}

// AdoptReply is the reply to a Transfer.
type AdoptReply struct{}

// HandOver transfers every step to one of the daemons at addresses. From then on the
// manager rejects new steps. It returns the ids of the steps that no daemon accepted. These
// run until this daemon exits; their trainers then reopen them.
func (m *Manager) HandOver(ctx context.Context, addresses []string) []string {
	m.mu.Lock()
	m.draining = true
	runs := slices.Collect(maps.Values(m.steps))
	m.mu.Unlock()
	var notAccepted []string
	for i, r := range runs {
		if !r.handOverTo(ctx, addresses, i) {
			notAccepted = append(notAccepted, r.id)
		}
	}
	return notAccepted
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// handOverTo tries each address once, beginning with the one at index first. It reports
// whether a daemon accepted the step.
func (r *run) handOverTo(ctx context.Context, addresses []string, first int) bool {
	for i := range addresses {
		a := addresses[(first+i)%len(addresses)]
		err := r.handOver(func(t Transfer) error {
			ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
			defer cancel()
			_, err := peer.Call[AdoptReply](ctx, r.m.client, a, MethodAdopt, t)
			return err
		})
		if err == nil {
			return true
		}
		r.m.log.Warn("Could not hand over the step.", "step", r.id, "to", a, "err", err.Error())
	}
	return false
}

// handOver transfers the step with send. No positions are committed meanwhile.
func (r *run) handOver(send func(Transfer) error) error {
	r.deliveryMu.Lock()
	defer r.deliveryMu.Unlock()
	r.mu.Lock()
	t := Transfer{Step: r.step, Request: EncodedRequest{r.request}, Acked: r.stream.acked, Samples: r.stream.Samples()}
	r.mu.Unlock()
	if err := send(t); err != nil {
		return err
	}
	r.handedOver.Store(true)
	r.cancel()
	r.m.removeRun(r)
	return nil
}

// adopt handles a Transfer: it commits this daemon as the owner of the step and runs it.
func (m *Manager) adopt(ctx context.Context, t Transfer) (AdoptReply, error) {
	if m.isDraining() {
		return AdoptReply{}, result.New(result.Draining, "this entry accepts no new steps")
	}
	defer m.beginAdoption(t.Step.ID)()
	move := state.StepMove{ID: t.Step.ID, MoveID: uuid.NewString(), Epoch: t.Step.Epoch, Owner: m.owner, Address: m.self}
	out, err := m.propose(ctx, state.Command{StepMove: &move})
	if err != nil {
		return AdoptReply{}, err
	}
	s := *out.Step
	s.Acked = t.Acked
	r := newRun(m, t.Request.StepRequest, s)
	r.stream.Restore(t.Samples)
	m.mu.Lock()
	old := m.steps[r.id]
	m.steps[r.id] = r
	m.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	m.launch(r)
	return AdoptReply{}, nil
}

// beginAdoption makes requests for a step wait until the returned function is called. They
// must wait because the control log names this daemon as the owner before it has the step.
func (m *Manager) beginAdoption(id string) (end func()) {
	done := make(chan struct{})
	m.mu.Lock()
	m.adopting[id] = done
	m.mu.Unlock()
	return func() {
		m.mu.Lock()
		if m.adopting[id] == done {
			delete(m.adopting, id)
		}
		m.mu.Unlock()
		close(done)
	}
}

// awaitAdoption returns when no adoption of the step is in progress, or when ctx ends.
func (m *Manager) awaitAdoption(ctx context.Context, id string) {
	m.mu.Lock()
	done := m.adopting[id]
	m.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
