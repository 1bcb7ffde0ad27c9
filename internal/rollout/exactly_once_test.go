package rollout

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/document"
	"github.com/apricotstream/apricotstream/internal/peer"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

const (
	stalenessBound     = 1 // of the service, in versions
	maxRoundsPerSample = 4 // rounds of finish, per sample of the step
)

// simCluster simulates two owners, one trainer, and a control log. The control log loses
// commands, applies them late, or applies them without a reply.
type simCluster struct {
	rt              *rapid.T
	log             *state.State
	noFaults        bool
	delayedCommands []state.Command
	owners          []*Manager
	req             StepRequest

	trainerOwner *Manager        // receives the trainer's requests; nil if the trainer must reopen the step
	sentRequests []FetchRequest  // all requests that the trainer has sent
	responses    []FetchResponse // all responses of the owners
	cursor       int
	received     map[[2]int]int    // number of deliveries, by group and index
	content      map[string]string // text that was sent, by attempt and position
	serial       int               // number of generated samples, which is also the text of the latest one
}

func (sim *simCluster) Config() *state.Config    { return sim.log.Config }
func (sim *simCluster) Fresh() bool              { return true }
func (sim *simCluster) Changed() <-chan struct{} { return nil }

func (sim *simCluster) Members(context.Context, control.MembersRequest) (control.MembersReply, error) {
	return control.MembersReply{}, nil
}

func (sim *simCluster) Query(_ context.Context, q control.QueryRequest) (control.QueryReply, error) {
	if !sim.noFaults && rapid.IntRange(0, 9).Draw(sim.rt, "query") == 0 {
		return control.QueryReply{}, result.New(result.NoQuorum, "lost")
	}
	return control.QueryReply{Step: sim.log.StepView(q.Step)}, nil
}

func (sim *simCluster) Propose(_ context.Context, c state.Command) (state.Outcome, error) {
	fault := 0
	if !sim.noFaults {
		fault = rapid.IntRange(0, 9).Draw(sim.rt, "fate")
	}
	lost := result.New(result.NoQuorum, "lost")
	switch fault {
	case 1:
		sim.delayedCommands = append(sim.delayedCommands, c)
		return state.Outcome{}, lost
	case 2:
		return state.Outcome{}, lost
	case 3:
		sim.log.Apply(c)
		return state.Outcome{}, lost
	}
	return sim.log.Apply(c), nil
}

func newSimCluster(rt *rapid.T) *simCluster {
	sim := &simCluster{rt: rt, log: state.New(), received: map[[2]int]int{}, content: map[string]string{}}
	sim.log.Config.Services = map[string]state.Service{"s": {Name: "s", Parsed: &document.Service{Owner: "a", Staleness: stalenessBound}}}
	sim.publish()
	sim.req = StepRequest{ID: "x", Attempt: 1, PerGroup: 2, Groups: make([]Group, 3)}
	unreached := func(context.Context, string) (net.Conn, error) { return nil, errors.New("cut off") }
	for i := range 2 {
		m := NewManager(fmt.Sprint("o", i), "", sim, sim, nil, peer.NewClient(unreached), nil, log.New(io.Discard))
		m.launch = func(*run) {}
		sim.owners = append(sim.owners, m)
	}
	sim.noFaults = true
	sim.open(sim.owners[0])
	sim.noFaults = false
	return sim
}

func (sim *simCluster) publish() {
	v := sim.log.Config.Weights["s"].Version + 1
	sim.log.Apply(state.Command{WeightsPut: &state.WeightsPut{Service: "s", Version: v, Account: "a"}})
}

func (sim *simCluster) owner() *Manager {
	return sim.owners[rapid.IntRange(0, 1).Draw(sim.rt, "owner")]
}

// generate finishes one sample at an owner, with the newest weight version or one that is
// older by at most stalenessBound.
func (sim *simCluster) generate(m *Manager) {
	r := m.find("a/x")
	if r == nil {
		return
	}
	slot, _, ok := r.nextSlot()
	if !ok {
		return
	}
	sim.serial++
	v := sim.log.Config.Weights["s"].Version - uint64(rapid.IntRange(0, stalenessBound).Draw(sim.rt, "age"))
	s := Sample{Text: fmt.Sprint(sim.serial)}
	_ = s.add("", 1, max(v, 1))
	r.update(func(st *Stream) {
		r.running--
		st.Finished(slot, s)
	})
}

func (sim *simCluster) open(m *Manager) bool {
	sim.req.Attempt++
	sim.req.Cursor = sim.cursor
	_, err := m.Open(context.Background(), "a", sim.log.Config.Services["s"], sim.req)
	return err == nil
}

// fetch sends a request to an owner and checks the samples of the response.
func (sim *simCluster) fetch(m *Manager, q FetchRequest) error {
	resp, err := m.FetchSamples(context.Background(), q)
	for _, s := range resp.Samples {
		sim.checkSent(resp.Attempt, s)
	}
	if err == nil {
		sim.responses = append(sim.responses, resp)
	}
	if r := m.find("a/x"); r != nil && r.ctx.Err() != nil {
		m.removeRun(r)
	}
	return err
}

// checkSent checks that a position has the same text whenever it is sent within one
// attempt, and that its sample is within the staleness bound.
func (sim *simCluster) checkSent(attempt uint64, s Sample) {
	at := fmt.Sprint(attempt, "/", s.Position)
	if old, ok := sim.content[at]; ok && old != s.Text {
		sim.rt.Fatalf("position %s had text %q before and now has %q", at, old, s.Text)
	}
	sim.content[at] = s.Text
	if oldestAllowed := sim.log.Config.OldestAllowed("s"); !s.Void && s.OldestVersion() < oldestAllowed {
		sim.rt.Fatalf("position %d of version %d was sent, but the oldest allowed version is %d", s.Position, s.OldestVersion(), oldestAllowed)
	}
}

func (sim *simCluster) request() FetchRequest {
	return FetchRequest{Step: "a/x", Attempt: sim.req.Attempt, After: sim.cursor, Limit: 3}
}

// receive delivers a response to the trainer. The trainer ignores it unless it belongs to
// the latest opening and follows the cursor.
func (sim *simCluster) receive(resp FetchResponse) {
	if resp.Attempt != sim.req.Attempt || len(resp.Samples) == 0 || resp.Samples[0].Position != sim.cursor+1 {
		return
	}
	for _, s := range resp.Samples {
		sim.cursor++
		if s.Position != sim.cursor {
			sim.rt.Fatalf("position %d after %d", s.Position, sim.cursor-1)
		}
		if s.Void {
			continue
		}
		if s.Tokens() == 0 {
			sim.rt.Fatalf("position %d has no weight version", s.Position)
		}
		sim.received[[2]int{s.Group, s.Index}]++
		if sim.received[[2]int{s.Group, s.Index}] > 1 {
			sim.rt.Fatalf("sample %d.%d was delivered twice", s.Group, s.Index)
		}
	}
}

// trainerStep makes the trainer send its next request: a fetch, or a reopening if
// trainerOwner is nil.
func (sim *simCluster) trainerStep() {
	if sim.trainerOwner == nil {
		if m := sim.owner(); sim.open(m) {
			sim.trainerOwner = m
		}
		return
	}
	sim.sentRequests = append(sim.sentRequests, sim.request())
	err := sim.fetch(sim.trainerOwner, sim.request())
	switch c := result.CodeOf(err); {
	case c == result.CursorWrong || c == result.StepConflict:
		sim.rt.Fatalf("a valid request was rejected: %v", err)
	case c == result.StepMoved:
		sim.trainerOwner = nil
	case err == nil && rapid.IntRange(0, 3).Draw(sim.rt, "received") > 0:
		sim.receive(sim.responses[len(sim.responses)-1])
	}
}

func (sim *simCluster) actions() map[string]func(*rapid.T) {
	index := func(n int) int { return rapid.IntRange(0, n-1).Draw(sim.rt, "which") }
	return map[string]func(*rapid.T){
		"generate": func(*rapid.T) {
			m := sim.owner()
			for range rapid.IntRange(1, 3).Draw(sim.rt, "finished") {
				sim.generate(m)
			}
		},
		"publish":        func(*rapid.T) { sim.publish() },
		"restart":        func(*rapid.T) { sim.trainerOwner = nil },
		"trainer step 1": func(*rapid.T) { sim.trainerStep() },
		"trainer step 2": func(*rapid.T) { sim.trainerStep() },
		"trainer step 3": func(*rapid.T) { sim.trainerStep() },
		"late request": func(*rapid.T) {
			if len(sim.sentRequests) > 0 {
				_ = sim.fetch(sim.owner(), sim.sentRequests[index(len(sim.sentRequests))])
			}
		},
		"answer": func(*rapid.T) {
			if len(sim.responses) > 0 {
				sim.receive(sim.responses[index(len(sim.responses))])
			}
		},
		"late command": func(*rapid.T) {
			if len(sim.delayedCommands) > 0 {
				i := index(len(sim.delayedCommands))
				sim.log.Apply(sim.delayedCommands[i])
				sim.delayedCommands = append(sim.delayedCommands[:i:i], sim.delayedCommands[i+1:]...)
			}
		},
		"hand over": func(*rapid.T) {
			from := rapid.IntRange(0, 1).Draw(sim.rt, "from")
			if r := sim.owners[from].find("a/x"); r != nil {
				_ = r.handOver(func(t Transfer) error {
					_, err := sim.owners[1-from].adopt(context.Background(), t)
					return err
				})
			}
		},
		"crash": func(*rapid.T) {
			m := sim.owner()
			if r := m.find("a/x"); r != nil {
				m.removeRun(r)
			}
		},
	}
}

// finish completes the step without further faults and checks that every sample was
// delivered.
func (sim *simCluster) finish() {
	sim.noFaults = true
	m := sim.owners[0]
	for range maxRoundsPerSample * sim.req.total() {
		for range sim.req.total() {
			sim.generate(m)
		}
		if sim.fetch(m, sim.request()) != nil {
			sim.open(m)
			continue
		}
		resp := sim.responses[len(sim.responses)-1]
		if resp.Done {
			break
		}
		sim.receive(resp)
	}
	if len(sim.received) != sim.req.total() {
		sim.rt.Fatalf("%d of %d samples were delivered", len(sim.received), sim.req.total())
	}
	if v := sim.log.StepView("a/x"); !v.Done || len(sim.log.Ledger.Steps["a/x"].Slots) > 0 {
		sim.rt.Fatalf("the step is not compacted: %+v", v)
	}
}

// Every sample is delivered to the trainer exactly once, although messages and commands may
// be lost, delayed or repeated.
func TestEverySampleIsDeliveredExactlyOnce(t *testing.T) {
	testkit.FixSeed()
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.steps", "50")
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimCluster(rt)
		rt.Repeat(sim.actions())
		sim.finish()
	})
}

// An owner whose process is suspended while the step is reopened at another owner sends
// nothing after it continues: neither new samples nor those that it sent before.
func TestSuspendedOwnerSendsNothingAfterReopening(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimCluster(rt)
		sim.noFaults = true
		old := sim.request()
		for range rapid.IntRange(1, 6).Draw(rt, "finished") {
			sim.generate(sim.owners[0])
		}
		if rapid.Bool().Draw(rt, "sent before") {
			_ = sim.fetch(sim.owners[0], old)
		}
		sim.open(sim.owners[1])
		if err := sim.fetch(sim.owners[0], old); result.CodeOf(err) != result.StepMoved {
			rt.Fatalf("the previous owner answered: %v", err)
		}
	})
}
