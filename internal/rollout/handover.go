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

// errHandedOver ends the requests that wait at an owner after it handed its step over.
var errHandedOver = errors.New("rollout: the step was handed over")

// adoptTimeout bounds one try to hand a step over.
const adoptTimeout = 5 * time.Second

// Transfer carries a step from an owner that shuts down to the next one, so that
// the trainer need not reopen it.
type Transfer struct {
	Step    state.Step `json:"step"`
	Request Carried    `json:"request"`
	Acked   int        `json:"acked"`
	Bodies  []Body     `json:"bodies"` // not acknowledged by the trainer
}

// Adopted answers a transfer.
type Adopted struct{}

// HandOver transfers every step to one of the daemons at addresses and accepts no
// new ones. It returns the steps that no daemon accepted; they run until this
// daemon exits, and their trainers then reopen them.
func (m *Manager) HandOver(ctx context.Context, addresses []string) []string {
	m.mu.Lock()
	m.draining = true
	runs := slices.Collect(maps.Values(m.steps))
	m.mu.Unlock()
	var left []string
	for i, r := range runs {
		if !r.handOverTo(ctx, addresses, i) {
			left = append(left, r.id)
		}
	}
	return left
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

// handOverTo tries the addresses from the given one on.
func (r *run) handOverTo(ctx context.Context, addresses []string, from int) bool {
	for i := range addresses {
		a := addresses[(from+i)%len(addresses)]
		err := r.handOver(func(t Transfer) error {
			ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
			defer cancel()
			_, err := peer.Call[Adopted](ctx, r.m.client, a, MethodAdopt, t)
			return err
		})
		if err == nil {
			return true
		}
		r.m.log.Warn("Step not handed over.", "step", r.id, "to", a, "err", err.Error())
	}
	return false
}

// handOver transfers the step with send. No position is committed during it.
func (r *run) handOver(send func(Transfer) error) error {
	r.delivering.Lock()
	defer r.delivering.Unlock()
	r.mu.Lock()
	t := Transfer{Step: r.step, Request: Carried{r.request}, Acked: r.stream.acked, Bodies: r.stream.Bodies()}
	r.mu.Unlock()
	if err := send(t); err != nil {
		return err
	}
	r.handed.Store(true)
	r.cancel()
	r.m.drop(r)
	return nil
}

// adopt takes over a step and its bodies from the previous owner.
func (m *Manager) adopt(ctx context.Context, t Transfer) (Adopted, error) {
	if m.isDraining() {
		return Adopted{}, result.New(result.Draining, "this entry takes no new steps")
	}
	defer m.beginAdoption(t.Step.ID)()
	move := state.StepMove{ID: t.Step.ID, MoveID: uuid.NewString(), Epoch: t.Step.Epoch, Owner: m.owner, Address: m.self}
	out, err := m.propose(ctx, state.Command{StepMove: &move})
	if err != nil {
		return Adopted{}, err
	}
	s := *out.Step
	s.Acked = t.Acked
	r := newRun(m, t.Request.StepRequest, s)
	r.stream.Restore(t.Bodies)
	m.mu.Lock()
	old := m.steps[r.id]
	m.steps[r.id] = r
	m.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	m.launch(r)
	return Adopted{}, nil
}

// beginAdoption lets requests for a step wait until the returned function is
// called: the control log names this daemon as the owner before it has the step.
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

// awaitAdoption returns when no adoption of the step is under way, or ctx ends.
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
