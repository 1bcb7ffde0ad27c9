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

const intervalLength = 10 * time.Second

// simLedger simulates a control log with entries that count usage and leaders that close
// and report usage intervals.
type simLedger struct {
	t            *rapid.T
	controlState *state.State
	now          time.Time
	entries      []*Counter
	started      int
	counted      int64 // requests counted by entries
	lost         int64 // requests that were uncommitted when their entry crashed
	reported     map[uint64]state.Window
}

func (b *simLedger) apply(c state.Command) state.Outcome {
	c.At = b.now
	raw, err := c.Encode()
	if err == nil {
		c, err = state.DecodeCommand(raw)
	}
	if err != nil {
		b.t.Fatal(err)
	}
	return b.controlState.Apply(c)
}

func (b *simLedger) startEntry() *Counter {
	b.started++
	return NewCounter(fmt.Sprintf("e:%d", b.started))
}

// uncommitted returns the number of requests that c counted and that are in no delta of
// the control log.
func (b *simLedger) uncommitted(c *Counter) int64 {
	n := int64(0)
	for _, u := range c.counts {
		n += u.Requests
	}
	if c.pending != nil && b.controlState.Ledger.Sources[c.source].Seq < c.pending.Seq {
		for _, u := range c.pending.Items {
			n += u.Requests
		}
	}
	return n
}

func (b *simLedger) windows() []state.Window {
	var out []state.Window
	for i := uint64(1); i <= b.controlState.Ledger.LastWindow; i++ {
		if w, ok := b.controlState.Ledger.Windows[i]; ok {
			out = append(out, w)
		}
	}
	return out
}

// report simulates the report of a usage interval by a leader. Every report of an
// interval must be the same, and intervals must follow each other without gaps.
func (b *simLedger) report(w state.Window) {
	w.Reported = false
	if old, ok := b.reported[w.ID]; ok && !reflect.DeepEqual(old, w) {
		b.t.Fatalf("usage interval %d was reported as %v and as %v", w.ID, old, w)
	}
	before, ok := b.reported[w.ID-1]
	if w.ID > 1 && (!ok || !before.End.Equal(w.Start)) {
		b.t.Fatalf("usage interval %d does not follow the previous one", w.ID)
	}
	b.reported[w.ID] = w
}

// checkTotals fails unless the counted requests add up to those that are uncommitted at an
// entry, pending in the control log, in a usage interval, or lost with an entry that
// crashed.
func (b *simLedger) checkTotals() {
	sum := b.lost
	for _, c := range b.entries {
		sum += b.uncommitted(c)
	}
	for _, u := range b.controlState.Ledger.Pending {
		sum += u.Requests
	}
	intervals := map[uint64]state.Window{}
	for id, w := range b.reported {
		intervals[id] = w
	}
	for _, w := range b.windows() {
		intervals[w.ID] = w
	}
	for _, w := range intervals {
		for _, u := range w.Items {
			sum += u.Requests
		}
	}
	if sum != b.counted {
		b.t.Fatalf("%d requests counted, %d found", b.counted, sum)
	}
}

func TestEveryRequestIsInOneIntervalAndReportsNeverChange(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		b := &simLedger{t: rt, controlState: state.New(), now: time.Unix(1_800_000_000, 0).UTC(), reported: map[uint64]state.Window{}}
		b.entries = []*Counter{b.startEntry(), b.startEntry()}
		pick := func() int { return rapid.IntRange(0, len(b.entries)-1).Draw(rt, "entry") }
		actions := map[string]func(*rapid.T){
			"count": func(*rapid.T) {
				b.entries[pick()].Add("a", rapid.SampledFrom([]string{"s", "t"}).Draw(rt, "service"), 1, 3)
				b.counted++
			},
			"commit": func(*rapid.T) { // the proposal or its reply may be lost
				c := b.entries[pick()]
				d := c.Delta(b.now)
				outcome := rapid.IntRange(0, 2).Draw(rt, "fate")
				if d == nil || outcome == 0 {
					return
				}
				b.apply(state.Command{UsageDelta: d})
				if outcome == 1 {
					c.Committed()
				}
			},
			"die": func(*rapid.T) {
				i := pick()
				b.lost += b.uncommitted(b.entries[i])
				b.entries[i] = b.startEntry()
			},
			"pass": func(*rapid.T) { // the clock of a new leader may be behind
				b.now = b.now.Add(time.Duration(rapid.IntRange(-30, 200).Draw(rt, "seconds")) * time.Second)
			},
			"close": func(*rapid.T) {
				if c, ok := NextClose(b.now, b.windows(), intervalLength); ok {
					b.apply(state.Command{WindowClose: &c})
					b.apply(state.Command{WindowClose: &c}) // a late duplicate of an earlier leader
				}
			},
			"report": func(*rapid.T) {
				for _, w := range Unreported(b.windows()) {
					b.report(w)
					if rapid.Bool().Draw(rt, "lost") {
						break // the confirmation is lost; the next leader reports it again
					}
					b.apply(state.Command{WindowReported: &state.WindowReported{ID: w.ID}})
				}
			},
			"snapshot": func(*rapid.T) {
				raw, err := b.controlState.Encode()
				if err == nil {
					b.controlState, err = state.Decode(raw)
				}
				if err != nil {
					rt.Fatal(err)
				}
			},
			"": func(*rapid.T) { b.checkTotals() },
		}
		rt.Repeat(actions)
	})
}

func TestUsageInTheLedgerStaysBounded(t *testing.T) {
	g := NewWithT(t)
	b := &simLedger{controlState: state.New(), now: time.Unix(1_800_000_000, 0).UTC()}
	for i := range 1000 {
		c := b.startEntry()
		c.Add("a", "s", 1, 1)
		b.apply(state.Command{UsageDelta: c.Delta(b.now)})
		if w, ok := NextClose(b.now, b.windows(), intervalLength); ok {
			b.apply(state.Command{WindowClose: &w})
		}
		if i%2 == 0 { // the receiver is down half of the time
			for _, w := range Unreported(b.windows()) {
				b.apply(state.Command{WindowReported: &state.WindowReported{ID: w.ID}})
			}
		}
		b.now = b.now.Add(time.Hour)
	}
	g.Expect(len(b.controlState.Ledger.Windows)).To(BeNumerically("<=", 130))
	g.Expect(len(b.controlState.Ledger.Sources)).To(BeNumerically("<=", 50))
	old := state.UsageDelta{Source: "e:1", Seq: 1, Created: time.Unix(1_800_000_000, 0)}
	g.Expect(b.apply(state.Command{UsageDelta: &old}).Err()).To(HaveOccurred(), "the delta is too old to tell whether it was counted")
}

func TestLongReceiverOutageLeavesBoundedIntervals(t *testing.T) {
	g := NewWithT(t)
	b := &simLedger{controlState: state.New(), now: time.Unix(1_800_000_000, 0).UTC()}
	for range 10 * maxUnreportedIntervals {
		if w, ok := NextClose(b.now, b.windows(), intervalLength); ok {
			b.apply(state.Command{WindowClose: &w})
		}
		b.now = b.now.Add(intervalLength)
	}
	g.Expect(Unreported(b.windows())).To(HaveLen(maxUnreportedIntervals))
	for _, w := range b.windows() {
		b.apply(state.Command{WindowReported: &state.WindowReported{ID: w.ID}})
	}
	last := b.windows()[len(b.windows())-1]
	w, ok := NextClose(b.now, b.windows(), intervalLength)
	g.Expect(ok).To(BeTrue())
	g.Expect(w.Start).To(Equal(last.End))
	g.Expect(w.End).To(Equal(b.now.Truncate(intervalLength)))
}
