package usage

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/state"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

const windowLength = 10 * time.Second

// books is one control log with entries that count into it and leaders that
// close and report windows from it.
type books struct {
	t       *rapid.T
	s       *state.State
	now     time.Time
	entries []*Counter
	started int
	counted int64 // by entries, ever
	lost    int64 // by entries that died
	sent    map[uint64]state.Window
}

func (b *books) apply(c state.Command) state.Outcome {
	c.At = b.now
	raw, err := c.Encode()
	if err == nil {
		c, err = state.DecodeCommand(raw)
	}
	if err != nil {
		b.t.Fatal(err)
	}
	return b.s.Apply(c)
}

func (b *books) start() *Counter {
	b.started++
	return NewCounter(fmt.Sprintf("e:%d", b.started))
}

// uncommitted is what c counted that is in no delta of the log.
func (b *books) uncommitted(c *Counter) int64 {
	n := int64(0)
	for _, u := range c.counts {
		n += u.Requests
	}
	if c.pending != nil && b.s.Ledger.Sources[c.source].Seq < c.pending.Seq {
		for _, u := range c.pending.Items {
			n += u.Requests
		}
	}
	return n
}

func (b *books) windows() []state.Window {
	var out []state.Window
	for i := uint64(1); i <= b.s.Ledger.LastWindow; i++ {
		if w, ok := b.s.Ledger.Windows[i]; ok {
			out = append(out, w)
		}
	}
	return out
}

// report is a leader's report: to the receiver, it must be the same every time.
func (b *books) report(w state.Window) {
	w.Reported = false
	if old, ok := b.sent[w.ID]; ok && !reflect.DeepEqual(old, w) {
		b.t.Fatalf("window %d reported as %v and as %v", w.ID, old, w)
	}
	before, ok := b.sent[w.ID-1]
	if w.ID > 1 && (!ok || !before.End.Equal(w.Start)) {
		b.t.Fatalf("window %d does not follow the one before", w.ID)
	}
	b.sent[w.ID] = w
}

func (b *books) check() {
	sum := b.lost
	for _, c := range b.entries {
		sum += b.uncommitted(c)
	}
	for _, u := range b.s.Ledger.Pending {
		sum += u.Requests
	}
	total := map[uint64]state.Window{}
	for id, w := range b.sent {
		total[id] = w
	}
	for _, w := range b.windows() {
		total[w.ID] = w
	}
	for _, w := range total {
		for _, u := range w.Items {
			sum += u.Requests
		}
	}
	if sum != b.counted {
		b.t.Fatalf("%d requests counted, %d found", b.counted, sum)
	}
}

func TestEveryRequestIsInOneWindowAndFiguresNeverChange(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		b := &books{t: rt, s: state.New(), now: time.Unix(1_800_000_000, 0).UTC(), sent: map[uint64]state.Window{}}
		b.entries = []*Counter{b.start(), b.start()}
		pick := func() int { return rapid.IntRange(0, len(b.entries)-1).Draw(rt, "entry") }
		actions := map[string]func(*rapid.T){
			"count": func(*rapid.T) {
				b.entries[pick()].Add("a", rapid.SampledFrom([]string{"s", "t"}).Draw(rt, "service"), 1, 3)
				b.counted++
			},
			"commit": func(*rapid.T) { // the proposal or its answer may be lost
				c := b.entries[pick()]
				d := c.Delta(b.now)
				fate := rapid.IntRange(0, 2).Draw(rt, "fate")
				if d == nil || fate == 0 {
					return
				}
				b.apply(state.Command{UsageDelta: d})
				if fate == 1 {
					c.Committed()
				}
			},
			"die": func(*rapid.T) {
				i := pick()
				b.lost += b.uncommitted(b.entries[i])
				b.entries[i] = b.start()
			},
			"pass": func(*rapid.T) { // the clock of a new leader may be behind
				b.now = b.now.Add(time.Duration(rapid.IntRange(-30, 200).Draw(rt, "seconds")) * time.Second)
			},
			"close": func(*rapid.T) {
				if c, ok := NextClose(b.now, b.windows(), windowLength); ok {
					b.apply(state.Command{WindowClose: &c})
					b.apply(state.Command{WindowClose: &c}) // an old leader's, late
				}
			},
			"report": func(*rapid.T) {
				for _, w := range Unreported(b.windows()) {
					b.report(w)
					if rapid.Bool().Draw(rt, "lost") {
						break // the next leader reports it again
					}
					b.apply(state.Command{WindowReported: &state.WindowReported{ID: w.ID}})
				}
			},
			"snapshot": func(*rapid.T) {
				raw, err := b.s.Encode()
				if err == nil {
					b.s, err = state.Decode(raw)
				}
				if err != nil {
					rt.Fatal(err)
				}
			},
			"": func(*rapid.T) { b.check() },
		}
		rt.Repeat(actions)
	})
}

func TestLedgerOfUsageStaysBounded(t *testing.T) {
	g := NewWithT(t)
	b := &books{s: state.New(), now: time.Unix(1_800_000_000, 0).UTC()}
	for i := range 1000 {
		c := b.start()
		c.Add("a", "s", 1, 1)
		b.apply(state.Command{UsageDelta: c.Delta(b.now)})
		if w, ok := NextClose(b.now, b.windows(), windowLength); ok {
			b.apply(state.Command{WindowClose: &w})
		}
		if i%2 == 0 { // the receiver is away half of the time
			for _, w := range Unreported(b.windows()) {
				b.apply(state.Command{WindowReported: &state.WindowReported{ID: w.ID}})
			}
		}
		b.now = b.now.Add(time.Hour)
	}
	g.Expect(len(b.s.Ledger.Windows)).To(BeNumerically("<=", 130))
	g.Expect(len(b.s.Ledger.Sources)).To(BeNumerically("<=", 50))
	old := state.UsageDelta{Source: "e:1", Seq: 1, Created: time.Unix(1_800_000_000, 0)}
	g.Expect(b.apply(state.Command{UsageDelta: &old}).Err()).To(HaveOccurred(), "nobody knows any more whether it was counted")
}

func TestReceiverAwayForLongAndOutagesCostNoBurst(t *testing.T) {
	g := NewWithT(t)
	b := &books{s: state.New(), now: time.Unix(1_800_000_000, 0).UTC()}
	for range 10 * maxUnreported {
		if w, ok := NextClose(b.now, b.windows(), windowLength); ok {
			b.apply(state.Command{WindowClose: &w})
		}
		b.now = b.now.Add(windowLength)
	}
	g.Expect(Unreported(b.windows())).To(HaveLen(maxUnreported))
	for _, w := range b.windows() {
		b.apply(state.Command{WindowReported: &state.WindowReported{ID: w.ID}})
	}
	last := b.windows()[len(b.windows())-1]
	w, ok := NextClose(b.now, b.windows(), windowLength)
	g.Expect(ok).To(BeTrue())
	g.Expect(w.Start).To(Equal(last.End))
	g.Expect(w.End).To(Equal(b.now.Truncate(windowLength)))
}
