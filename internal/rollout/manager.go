package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Calls between the entries and a step's owner.
const (
	MethodTake  = "rollout.take"
	MethodOpen  = "rollout.open"
	MethodAdopt = "rollout.adopt"
)

// Limits of steps.
const (
	maxSamples    = 1 << 16
	maxWait       = 30 * time.Second
	commitTimeout = 3 * time.Second
	takeMargin    = 2 * time.Second // for the answer of an owner elsewhere
	openTimeout   = time.Second     // for the owner of an open step to answer
)

// Counter counts what samples used.
type Counter interface {
	Add(account, service string, requests, tokens int64)
}

// Manager runs the steps that this daemon owns.
type Manager struct {
	// MaxMoves bounds how often one sample moves to a faster upstream; 0 disables
	// moves. Set it before the first step.
	MaxMoves int

	log    *log.Logger
	owner  string // incarnation of this daemon
	self   string // peer address of this daemon
	view   control.View
	commit control.Log
	runner Runner
	client *peer.Client
	usage  Counter

	launch func(*run) // starts a run's goroutines

	mu       sync.Mutex
	steps    map[string]*run
	adopting map[string]chan struct{} // closed at the end of the adoption, by step
	draining bool
}

// NewManager returns a manager without steps.
func NewManager(owner, self string, view control.View, commit control.Log, r Runner, c *peer.Client, u Counter, l *log.Logger) *Manager {
	return &Manager{
		log: l, owner: owner, self: self, view: view, commit: commit, runner: r, client: c, usage: u,
		launch: func(r *run) { go r.loop() }, MaxMoves: maxMoves, steps: map[string]*run{},
		adopting: map[string]chan struct{}{},
	}
}

// Register adds the manager's calls to s.
func (m *Manager) Register(s *peer.Server) {
	peer.Handle(s, MethodTake, m.take)
	peer.Handle(s, MethodOpen, m.reopen)
	peer.Handle(s, MethodAdopt, m.adopt)
}

// StepID names a step of an account in the control log.
func StepID(account, id string) string { return account + "/" + id }

// OpenRequest opens a step of an account.
type OpenRequest struct {
	Account string  `json:"account"`
	Service string  `json:"service"`
	Request Carried `json:"request"`
}

func (q OpenRequest) step() string { return StepID(q.Account, q.Request.ID) }

// Open opens a step for an account. An open step remains with its owner as long
// as the owner answers; otherwise this daemon takes it over.
func (m *Manager) Open(ctx context.Context, account string, svc state.Service, q StepRequest) (*state.Step, error) {
	if q.ID == "" || q.PerGroup < 1 || q.total() < 1 || q.total() > maxSamples || q.Cursor < 0 || q.Attempt < 1 {
		return nil, result.New(result.BodyMalformed, "a step needs an id, groups, samples_per_group, a cursor and an attempt from 1; at most %d samples", maxSamples)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout+openTimeout)
	defer cancel()
	open := OpenRequest{Account: account, Service: svc.Name, Request: Carried{q}}
	if m.find(open.step()) == nil {
		s, err := m.openElsewhere(ctx, open)
		if s != nil || err != nil {
			return s, err
		}
		if m.isDraining() {
			return nil, result.NewRetryAfter(result.Draining, retryWait, "this entry takes no new steps")
		}
	}
	return m.openHere(ctx, open)
}

// openElsewhere forwards the opening to the owner of the step; nil when there is
// none, or it does not answer.
func (m *Manager) openElsewhere(ctx context.Context, q OpenRequest) (*state.Step, error) {
	reply, err := m.commit.Query(ctx, control.QueryRequest{Step: q.step()})
	if err != nil {
		return nil, err
	}
	if reply.Step == nil || reply.Step.Done || reply.Step.Owner == m.owner {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := peer.Call[state.Step](ctx, m.client, reply.Step.Address, MethodOpen, q)
	switch result.CodeOf(err) {
	case result.OK:
		return &s, nil
	case result.StepConflict, result.StepSuperseded, result.CursorWrong:
		return nil, err
	}
	return nil, nil
}

// reopen handles an opening that another entry forwarded.
func (m *Manager) reopen(ctx context.Context, q OpenRequest) (*state.Step, error) {
	if m.find(q.step()) == nil {
		return nil, result.New(result.StepMoved, "the step does not run here")
	}
	return m.openHere(ctx, q)
}

func (m *Manager) openHere(ctx context.Context, q OpenRequest) (*state.Step, error) {
	content, err := q.Request.hash()
	if err != nil {
		return nil, err
	}
	open := state.StepOpen{
		ID: q.step(), Account: q.Account, Service: q.Service, Hash: content, Total: q.Request.total(),
		Owner: m.owner, Address: m.self, Attempt: q.Request.Attempt, Cursor: q.Request.Cursor,
	}
	out, err := m.propose(ctx, state.Command{StepOpen: &open})
	if err != nil {
		return nil, err
	}
	m.start(q.Request.StepRequest, *out.Step)
	return out.Step, nil
}

// propose commits c; it returns an error unless the outcome is OK.
func (m *Manager) propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := m.commit.Propose(ctx, c)
	if err != nil {
		return out, err
	}
	return out, out.Err()
}

// start runs an opened step, unless it belongs to another owner or has ended.
func (m *Manager) start(q StepRequest, s state.Step) {
	if s.Owner != m.owner || s.Done {
		return
	}
	m.mu.Lock()
	old := m.steps[s.ID]
	if old == nil {
		r := newRun(m, q, s)
		m.steps[s.ID] = r
		m.launch(r)
	}
	m.mu.Unlock()
	if old != nil {
		old.rewind(s)
	}
}

// Take returns the samples after the cursor from the owner of the step, waiting
// until there are any.
func (m *Manager) FetchSamples(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	q.Wait = min(max(q.Wait, 0), maxWait)
	if r := m.find(q.Step); r != nil {
		b, err := r.take(ctx, q)
		if !errors.Is(err, errHandedOver) {
			return b, err
		}
	}
	reply, err := m.commit.Query(ctx, control.QueryRequest{Step: q.Step})
	if err != nil {
		return FetchResponse{}, err
	}
	v := reply.Step
	switch {
	case v == nil:
		return FetchResponse{}, result.New(result.StepUnknown, "no step %s", q.Step)
	case v.Attempt > q.Attempt:
		return FetchResponse{}, result.New(result.StepSuperseded, "the step was opened again")
	case v.Done && q.After == v.Acked:
		return FetchResponse{Attempt: q.Attempt, Cursor: q.After, Done: true}, nil
	case v.Done:
		return FetchResponse{}, result.New(result.CursorWrong, "the step has ended at %d", v.Acked)
	case v.Owner == m.owner:
		return m.take(ctx, q)
	}
	return m.takeElsewhere(ctx, v.Address, q)
}

func (m *Manager) takeElsewhere(ctx context.Context, owner string, q FetchRequest) (FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+takeMargin)
	defer cancel()
	b, err := peer.Call[FetchResponse](ctx, m.client, owner, MethodTake, q)
	if err != nil && result.CodeOf(err) == result.Internal {
		return b, result.New(result.StepMoved, "the owner of the step does not answer")
	}
	return b, err
}

// take returns samples of a step that this daemon owns.
func (m *Manager) take(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	m.awaitAdoption(ctx, q.Step)
	r := m.find(q.Step)
	if r == nil {
		return FetchResponse{}, result.New(result.StepMoved, "the step does not run here")
	}
	b, err := r.take(ctx, q)
	if errors.Is(err, errHandedOver) {
		return b, result.NewRetryAfter(result.Draining, retryWait, "the step moves to another owner")
	}
	return b, err
}

func (m *Manager) find(id string) *run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps[id]
}

func (m *Manager) drop(r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.steps[r.id] == r {
		delete(m.steps, r.id)
	}
}
