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
	bound  = 1 // staleness of the model's service
	budget = 4 // openings without progress that the quiet end may take
)

// world is a control log whose commands get lost, applied late or answered with
// silence, two owners and one trainer.
type world struct {
	rt     *rapid.T
	log    *state.State
	calm   bool
	late   []state.Command
	owners []*Manager
	req    StepRequest

	opened  *Manager        // that the trainer asks
	polls   []FetchRequest  // ever sent
	answers []FetchResponse // not received yet
	cursor  int
	got     map[[2]int]int
	content map[string]string // by attempt and position
	serial  int
}

func (w *world) Config() *state.Config    { return w.log.Config }
func (w *world) Fresh() bool              { return true }
func (w *world) Changed() <-chan struct{} { return nil }

func (w *world) Members(context.Context, control.MembersRequest) (control.MembersReply, error) {
	return control.MembersReply{}, nil
}

func (w *world) Query(_ context.Context, q control.QueryRequest) (control.QueryReply, error) {
	if !w.calm && rapid.IntRange(0, 9).Draw(w.rt, "query") == 0 {
		return control.QueryReply{}, result.New(result.NoQuorum, "lost")
	}
	return control.QueryReply{Step: w.log.StepView(q.Step)}, nil
}

func (w *world) Propose(_ context.Context, c state.Command) (state.Outcome, error) {
	fate := 0
	if !w.calm {
		fate = rapid.IntRange(0, 9).Draw(w.rt, "fate")
	}
	lost := result.New(result.NoQuorum, "lost")
	switch fate {
	case 1:
		w.late = append(w.late, c)
		return state.Outcome{}, lost
	case 2:
		return state.Outcome{}, lost
	case 3:
		w.log.Apply(c)
		return state.Outcome{}, lost
	}
	return w.log.Apply(c), nil
}

func newWorld(rt *rapid.T) *world {
	w := &world{rt: rt, log: state.New(), got: map[[2]int]int{}, content: map[string]string{}}
	w.log.Config.Services = map[string]state.Service{"s": {Name: "s", Parsed: &document.Service{Owner: "a", Staleness: bound}}}
	w.publish()
	w.req = StepRequest{ID: "x", Attempt: 1, PerGroup: 2, Groups: make([]Group, 3)}
	unreached := func(context.Context, string) (net.Conn, error) { return nil, errors.New("cut off") }
	for i := range 2 {
		m := NewManager(fmt.Sprint("o", i), "", w, w, nil, peer.NewClient(unreached), nil, log.New(io.Discard))
		m.launch = func(*run) {}
		w.owners = append(w.owners, m)
	}
	w.calm = true
	w.open(w.owners[0])
	w.calm = false
	return w
}

func (w *world) publish() {
	v := w.log.Config.Weights["s"].Version + 1
	w.log.Apply(state.Command{WeightsPut: &state.WeightsPut{Service: "s", Version: v, Account: "a"}})
}

func (w *world) owner() *Manager { return w.owners[rapid.IntRange(0, 1).Draw(w.rt, "owner")] }

// generate finishes one sample at an owner, from the newest weights or the ones
// before.
func (w *world) generate(m *Manager) {
	r := m.find("a/x")
	if r == nil {
		return
	}
	slot, ok := r.nextSlot()
	if !ok {
		return
	}
	w.serial++
	v := w.log.Config.Weights["s"].Version - uint64(rapid.IntRange(0, bound).Draw(w.rt, "age"))
	s := Sample{Text: fmt.Sprint(w.serial)}
	_ = s.add("", 1, max(v, 1))
	r.update(func(st *Stream) {
		r.running--
		st.Finished(slot, s)
	})
}

func (w *world) open(m *Manager) bool {
	w.req.Attempt++
	w.req.Cursor = w.cursor
	_, err := m.Open(context.Background(), "a", w.log.Config.Services["s"], w.req)
	return err == nil
}

func (w *world) poll(m *Manager, q FetchRequest) error {
	b, err := m.FetchSamples(context.Background(), q)
	for _, s := range b.Samples {
		w.checkSent(b.Attempt, s)
	}
	if err == nil {
		w.answers = append(w.answers, b)
	}
	if r := m.find("a/x"); r != nil && r.ctx.Err() != nil {
		m.drop(r)
	}
	return err
}

func (w *world) checkSent(attempt uint64, s Sample) {
	at := fmt.Sprint(attempt, "/", s.Position)
	if old, ok := w.content[at]; ok && old != s.Text {
		w.rt.Fatalf("position %s was %q and is %q", at, old, s.Text)
	}
	w.content[at] = s.Text
	if allowed := w.log.Config.OldestAllowed("s"); !s.Void && s.OldestVersion() < allowed {
		w.rt.Fatalf("position %d of version %d was sent, allowed is %d", s.Position, s.OldestVersion(), allowed)
	}
}

func (w *world) request() FetchRequest {
	return FetchRequest{Step: "a/x", Attempt: w.req.Attempt, After: w.cursor, Limit: 3}
}

// receive hands an answer to the trainer, which takes it only when it belongs to
// its newest opening and follows its cursor.
func (w *world) receive(b FetchResponse) {
	if b.Attempt != w.req.Attempt || len(b.Samples) == 0 || b.Samples[0].Position != w.cursor+1 {
		return
	}
	for _, s := range b.Samples {
		w.cursor++
		if s.Position != w.cursor {
			w.rt.Fatalf("position %d after %d", s.Position, w.cursor-1)
		}
		if s.Void {
			continue
		}
		if s.Tokens() == 0 {
			w.rt.Fatalf("position %d has no label", s.Position)
		}
		w.got[[2]int{s.Group, s.Index}]++
		if w.got[[2]int{s.Group, s.Index}] > 1 {
			w.rt.Fatalf("sample %d.%d came twice", s.Group, s.Index)
		}
	}
}

// turn is what the trainer does next: ask for samples, or open the step again
// when that was refused.
func (w *world) turn() {
	if w.opened == nil {
		if m := w.owner(); w.open(m) {
			w.opened = m
		}
		return
	}
	w.polls = append(w.polls, w.request())
	err := w.poll(w.opened, w.request())
	switch c := result.CodeOf(err); {
	case c == result.CursorWrong || c == result.StepConflict:
		w.rt.Fatalf("a good request was refused: %v", err)
	case c == result.StepMoved:
		w.opened = nil
	case err == nil && rapid.IntRange(0, 3).Draw(w.rt, "received") > 0:
		w.receive(w.answers[len(w.answers)-1])
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	one := func(n int) int { return rapid.IntRange(0, n-1).Draw(w.rt, "which") }
	return map[string]func(*rapid.T){
		"generate": func(*rapid.T) {
			m := w.owner()
			for range rapid.IntRange(1, 3).Draw(w.rt, "finished") {
				w.generate(m)
			}
		},
		"publish": func(*rapid.T) { w.publish() },
		"restart": func(*rapid.T) { w.opened = nil },
		"turn 1":  func(*rapid.T) { w.turn() },
		"turn 2":  func(*rapid.T) { w.turn() },
		"turn 3":  func(*rapid.T) { w.turn() },
		"late poll": func(*rapid.T) {
			if len(w.polls) > 0 {
				_ = w.poll(w.owner(), w.polls[one(len(w.polls))])
			}
		},
		"answer": func(*rapid.T) {
			if len(w.answers) > 0 {
				w.receive(w.answers[one(len(w.answers))])
			}
		},
		"late command": func(*rapid.T) {
			if len(w.late) > 0 {
				i := one(len(w.late))
				w.log.Apply(w.late[i])
				w.late = append(w.late[:i:i], w.late[i+1:]...)
			}
		},
		"hand over": func(*rapid.T) {
			from := rapid.IntRange(0, 1).Draw(w.rt, "from")
			if r := w.owners[from].find("a/x"); r != nil {
				_ = r.handOver(func(t Transfer) error {
					_, err := w.owners[1-from].adopt(context.Background(), t)
					return err
				})
			}
		},
		"crash": func(*rapid.T) {
			m := w.owner()
			if r := m.find("a/x"); r != nil {
				m.drop(r)
			}
		},
	}
}

// end lets the step run out without further faults.
func (w *world) end() {
	w.calm = true
	m := w.owners[0]
	for range budget * w.req.total() {
		for range w.req.total() {
			w.generate(m)
		}
		if w.poll(m, w.request()) != nil {
			w.open(m)
			continue
		}
		b := w.answers[len(w.answers)-1]
		if b.Done {
			break
		}
		w.receive(b)
	}
	if len(w.got) != w.req.total() {
		w.rt.Fatalf("%d of %d samples came", len(w.got), w.req.total())
	}
	if v := w.log.StepView("a/x"); !v.Done || len(w.log.Ledger.Steps["a/x"].Slots) > 0 {
		w.rt.Fatalf("the step is not compacted: %+v", v)
	}
}

// Whatever is lost, late or sent twice, every sample reaches the trainer once.
func TestEverySampleIsDeliveredExactlyOnce(t *testing.T) {
	testkit.FixSeed()
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.steps", "50")
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(w.actions())
		w.end()
	})
}

// An owner that was frozen over an opening elsewhere sends nothing after its thaw,
// neither new samples nor those it has sent before.
func TestThawedOwnerSendsNothing(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		w.calm = true
		old := w.request()
		for range rapid.IntRange(1, 6).Draw(rt, "finished") {
			w.generate(w.owners[0])
		}
		if rapid.Bool().Draw(rt, "sent before") {
			_ = w.poll(w.owners[0], old)
		}
		w.open(w.owners[1])
		if err := w.poll(w.owners[0], old); result.CodeOf(err) != result.StepMoved {
			rt.Fatalf("the thawed owner answered: %v", err)
		}
	})
}
