package duty

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/control"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// ledger is a control group that always commits.
type ledger struct{ s *state.State }

func (l ledger) Propose(_ context.Context, q control.ProposeRequest) (state.Outcome, error) {
	return l.s.Apply(q.Command), nil
}

func (l ledger) Query(context.Context, control.QueryRequest) (control.QueryReply, error) {
	var r control.QueryReply
	for _, i := range l.s.Ledger.Intervals {
		r.Intervals = append(r.Intervals, i)
	}
	return r, nil
}

// receiver records the reports of intervals; it may fail for a while.
type receiver struct {
	got  map[uint64][]map[string]int64
	by   []uint64
	down bool
}

func (r *receiver) ReportUsage(_ context.Context, f Fence, interval uint64, requests map[string]int64) error {
	if r.down {
		return result.New(result.UpstreamTimeout, "down")
	}
	r.got[interval] = append(r.got[interval], requests)
	r.by = append(r.by, f.Token)
	return nil
}

func (*receiver) SetPool(context.Context, Fence, string, string, bool, int) error { return nil }

func leading(term *uint64) func() control.Leadership {
	return func() control.Leadership {
		if *term == 0 {
			return control.Leadership{}
		}
		return control.Leadership{Term: *term, Until: time.Now().Add(time.Second)}
	}
}

const length = 5 * time.Second

// Entries report what they have counted again and again; the sum of an interval
// is reported once, in time, and never with other figures, also by the next leader.
func TestUsageIsReportedOnceWithFinalFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l, rec := ledger{state.New()}, &receiver{got: map[uint64][]map[string]int64{}}
		term := uint64(3)
		duty := func() *Usage {
			return NewUsage(NewTerm(leading(&term), "me", 0), length, l, rec, log.New(io.Discard))
		}
		u := duty()
		one, two := NewCounter("e1:1", length), NewCounter("e2:1", length)
		began := time.Now()
		interval := intervalOf(began, length)
		one.Began("a", began)
		two.Began("a", began)
		two.Began("b", began)
		step := func(u *Usage, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval100) {
				u.Take(one.Tally())
				u.Take(two.Tally())
				u.round(t.Context())
			}
		}
		step(u, length+settleTime+time.Second)
		g.Expect(rec.got[interval]).To(Equal([]map[string]int64{{"a": 2, "b": 1}}))
		g.Expect(time.Since(began)).To(BeNumerically("<", length+10*time.Second))

		one.Began("a", began) // an entry tells of it too late
		term = 4
		next := duty()
		step(next, 4*time.Second)
		g.Expect(rec.got[interval]).To(HaveLen(2), "the next leader repeats what may not have arrived")
		g.Expect(rec.got[interval][1]).To(Equal(rec.got[interval][0]))
		g.Expect(rec.by).To(Equal([]uint64{3, 4}))
		step(next, 10*time.Second)
		g.Expect(rec.got[interval]).To(HaveLen(2))
	})
}

const interval100 = 100 * time.Millisecond

func TestUsageIsReportedAfterTheReceiverIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rec := &receiver{got: map[uint64][]map[string]int64{}, down: true}
		term := uint64(1)
		u := NewUsage(NewTerm(leading(&term), "me", 0), length, ledger{state.New()}, rec, log.New(io.Discard))
		c := NewCounter("e", length)
		c.Began("a", time.Now())
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval100) {
				u.Take(c.Tally())
				u.round(t.Context())
			}
		}
		run(12 * time.Second)
		g.Expect(rec.got).To(BeEmpty())
		rec.down = false
		run(time.Second)
		g.Expect(rec.got).To(HaveLen(1))
	})
}

func TestNothingIsDoneWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		term := uint64(0)
		x := NewTerm(leading(&term), "me", time.Second)
		_, _, ok := x.fence(time.Now())
		g.Expect(ok).To(BeFalse())
		term = 7
		_, changed, ok := x.fence(time.Now())
		g.Expect(changed).To(BeTrue())
		g.Expect(ok).To(BeFalse(), "a new leader waits first")
		time.Sleep(time.Second)
		f, changed, ok := x.fence(time.Now())
		g.Expect(changed).To(BeFalse())
		g.Expect(ok).To(BeTrue())
		g.Expect(f.Token).To(Equal(uint64(7)))
		term = 8
		g.Expect(x.valid(f)).To(BeFalse())
	})
}
