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

// Methods of the peer protocol between entries and owners of steps.
const (
	MethodFetch = "rollout.take"
	MethodOpen  = "rollout.open"
	MethodAdopt = "rollout.adopt"
)

// Limits and timeouts.
const (
	maxSamples    = 1 << 16 // per step
	maxFetchWait  = 30 * time.Second
	commitTimeout = 3 * time.Second
	fetchMargin   = 2 * time.Second // added to the wait when the owner is another daemon
	openTimeout   = time.Second     // for the owner of an open step to answer
)

// Counter counts the requests and tokens of samples.
type Counter interface {
	Add(account, service string, requests, tokens int64)
}

// Manager runs the steps that this daemon owns.
type Manager struct {
	// MaxMoves is how often one sample may move away from a slow upstream; 0 disables moves.
	// It must be set before the first step is opened.
	MaxMoves int

	log        *log.Logger
	owner      string // incarnation of this daemon
	self       string // peer address of this daemon
	view       control.View
	controlLog control.Log
	runner     Runner
	client     *peer.Client
	usage      Counter

	launch func(*run) // starts the goroutine of a run; replaced in tests

	mu       sync.Mutex
	steps    map[string]*run          // by step id
	adopting map[string]chan struct{} // closed at the end of the adoption, by step id
	draining bool
}

// NewManager returns a manager without steps.
func NewManager(owner, self string, view control.View, controlLog control.Log, r Runner, c *peer.Client, u Counter, l *log.Logger) *Manager {
	return &Manager{
		log: l, owner: owner, self: self, view: view, controlLog: controlLog, runner: r, client: c, usage: u,
		launch: func(r *run) { go r.loop() }, MaxMoves: defaultMaxMoves, steps: map[string]*run{},
		adopting: map[string]chan struct{}{},
	}
}

// Register adds the manager's methods to s.
func (m *Manager) Register(s *peer.Server) {
	peer.Handle(s, MethodFetch, m.fetch)
	peer.Handle(s, MethodOpen, m.handleOpen)
	peer.Handle(s, MethodAdopt, m.adopt)
}

// StepID returns the id of a step in the control log, from its account and the id that the
// trainer chose.
func StepID(account, id string) string { return account + "/" + id }

// OpenRequest is the request of MethodOpen.
type OpenRequest struct {
	Account string         `json:"account"`
	Service string         `json:"service"`
	Request EncodedRequest `json:"request"`
}

func (q OpenRequest) step() string { return StepID(q.Account, q.Request.ID) }

// Open opens a step for an account. A step that is already open stays with its owner as
// long as the owner answers; otherwise this daemon becomes the owner.
func (m *Manager) Open(ctx context.Context, account string, svc state.Service, q StepRequest) (*state.Step, error) {
	if q.ID == "" || q.PerGroup < 1 || q.total() < 1 || q.total() > maxSamples || q.Cursor < 0 || q.Attempt < 1 {
		return nil, result.New(result.BodyMalformed, "a step needs an id, groups, samples_per_group, a cursor and an attempt from 1; at most %d samples", maxSamples)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout+openTimeout)
	defer cancel()
	open := OpenRequest{Account: account, Service: svc.Name, Request: EncodedRequest{q}}
	if m.find(open.step()) == nil {
		s, err := m.openAtOwner(ctx, open)
		if s != nil || err != nil {
			return s, err
		}
		if m.isDraining() {
			return nil, result.NewRetryAfter(result.Draining, retryDelay, "this entry accepts no new steps")
		}
	}
	return m.openLocally(ctx, open)
}

// openAtOwner forwards the request to the owner of the step. It returns nil without an
// error if the step is done or has no other owner, or if the owner doesn't answer or no
// longer runs the step.
func (m *Manager) openAtOwner(ctx context.Context, q OpenRequest) (*state.Step, error) {
	reply, err := m.controlLog.Query(ctx, control.QueryRequest{Step: q.step()})
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

// handleOpen handles a request that another entry forwarded. It fails with StepMoved if the
// step doesn't run here.
func (m *Manager) handleOpen(ctx context.Context, q OpenRequest) (*state.Step, error) {
	if m.find(q.step()) == nil {
		return nil, result.New(result.StepMoved, "the step does not run here")
	}
	return m.openLocally(ctx, q)
}

// openLocally commits the opening with this daemon as the owner and runs the step.
func (m *Manager) openLocally(ctx context.Context, q OpenRequest) (*state.Step, error) {
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

// propose commits c. It returns an error unless the code of the outcome is OK.
func (m *Manager) propose(ctx context.Context, c state.Command) (state.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	out, err := m.controlLog.Propose(ctx, c)
	if err != nil {
		return out, err
	}
	return out, out.Err()
}

// start runs an opened step, or rewinds it if it already runs. It does nothing if the step
// has another owner or is done.
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

// FetchSamples returns the samples after the cursor from the owner of the step. It waits
// until there are any or the step is done, at most for q.Wait, and never longer than
// maxFetchWait.
func (m *Manager) FetchSamples(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	q.Wait = min(max(q.Wait, 0), maxFetchWait)
	if r := m.find(q.Step); r != nil {
		resp, err := r.fetch(ctx, q)
		if !errors.Is(err, errHandedOver) {
			return resp, err
		}
	}
	reply, err := m.controlLog.Query(ctx, control.QueryRequest{Step: q.Step})
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
		return FetchResponse{}, result.New(result.CursorWrong, "the step has ended at position %d", v.Acked)
	case v.Owner == m.owner:
		return m.fetch(ctx, q)
	}
	return m.fetchFromOwner(ctx, v.Address, q)
}

// fetchFromOwner forwards the request to the owner at the given peer address. It fails with
// StepMoved if the owner doesn't answer.
func (m *Manager) fetchFromOwner(ctx context.Context, owner string, q FetchRequest) (FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+fetchMargin)
	defer cancel()
	resp, err := peer.Call[FetchResponse](ctx, m.client, owner, MethodFetch, q)
	if err != nil && result.CodeOf(err) == result.Internal {
		return resp, result.New(result.StepMoved, "the owner of the step does not answer")
	}
	return resp, err
}

// fetch returns samples of a step that this daemon owns or is adopting.
func (m *Manager) fetch(ctx context.Context, q FetchRequest) (FetchResponse, error) {
	m.awaitAdoption(ctx, q.Step)
	r := m.find(q.Step)
	if r == nil {
		return FetchResponse{}, result.New(result.StepMoved, "the step does not run here")
	}
	resp, err := r.fetch(ctx, q)
	if errors.Is(err, errHandedOver) {
		return resp, result.NewRetryAfter(result.Draining, retryDelay, "the step is being handed over to another owner")
	}
	return resp, err
}

func (m *Manager) find(id string) *run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steps[id]
}

// removeRun removes r, unless another run has replaced it.
func (m *Manager) removeRun(r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.steps[r.id] == r {
		delete(m.steps, r.id)
	}
}
