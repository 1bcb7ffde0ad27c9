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

// fakeReplica applies every proposal at once.
type fakeReplica struct{ s *state.State }

func (f fakeReplica) Propose(_ context.Context, q control.ProposeRequest) (state.Outcome, error) {
	return f.s.Apply(q.Command), nil
}

func (f fakeReplica) Query(context.Context, control.QueryRequest) (control.QueryReply, error) {
	var r control.QueryReply
	for _, i := range f.s.Ledger.Intervals {
		r.Intervals = append(r.Intervals, i)
	}
	return r, nil
}

// fakeProvider records usage reports by interval, and fails while down is set.
type fakeProvider struct {
	reports map[uint64][]map[string]int64
	tokens  []uint64
	down    bool
}

func (p *fakeProvider) ReportUsage(_ context.Context, f Fence, interval uint64, requests map[string]int64) error {
	if p.down {
		return result.New(result.UpstreamTimeout, "down")
	}
	p.reports[interval] = append(p.reports[interval], requests)
	p.tokens = append(p.tokens, f.Token)
	return nil
}

func (*fakeProvider) SetPool(context.Context, Fence, string, string, bool, int) error { return nil }

// fakeLeadership returns a lease for *term, or none while *term is 0.
func fakeLeadership(term *uint64) func() control.Leadership {
	return func() control.Leadership {
		if *term == 0 {
			return control.Leadership{}
		}
		return control.Leadership{Term: *term, Until: time.Now().Add(time.Second)}
	}
}

const testIntervalLength = 5 * time.Second

// Entries send their counts repeatedly. A leader must report the sum of an interval once
// and in time, and the next leader must not report different figures when an entry sends
// more counts after the commit.
func TestUsageReportedOncePerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		replica, provider := fakeReplica{state.New()}, &fakeProvider{reports: map[uint64][]map[string]int64{}}
		term := uint64(3)
		newDuty := func() *Usage {
			return NewUsage(NewTerm(fakeLeadership(&term), "me", 0), testIntervalLength, replica, provider, log.New(io.Discard))
		}
		u := newDuty()
		counter1, counter2 := NewCounter("e1:1", testIntervalLength), NewCounter("e2:1", testIntervalLength)
		began := time.Now()
		interval := intervalOf(began, testIntervalLength)
		counter1.Began("a", began)
		counter2.Began("a", began)
		counter2.Began("b", began)
		runFor := func(u *Usage, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(testRoundInterval) {
				u.Record(counter1.RequestCounts())
				u.Record(counter2.RequestCounts())
				u.round(t.Context())
			}
		}
		runFor(u, testIntervalLength+commitDelay+time.Second)
		g.Expect(provider.reports[interval]).To(Equal([]map[string]int64{{"a": 2, "b": 1}}))
		g.Expect(time.Since(began)).To(BeNumerically("<", testIntervalLength+10*time.Second))

		counter1.Began("a", began) // counted after the interval was committed
		term = 4
		next := newDuty()
		runFor(next, 4*time.Second)
		g.Expect(provider.reports[interval]).To(HaveLen(2), "the next leader repeats a report that may not have arrived")
		g.Expect(provider.reports[interval][1]).To(Equal(provider.reports[interval][0]))
		g.Expect(provider.tokens).To(Equal([]uint64{3, 4}))
		runFor(next, 10*time.Second)
		g.Expect(provider.reports[interval]).To(HaveLen(2))
	})
}

const testRoundInterval = 100 * time.Millisecond

// A usage report must not be lost while the provider fails.
func TestUsageReportedAfterProviderRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		provider := &fakeProvider{reports: map[uint64][]map[string]int64{}, down: true}
		term := uint64(1)
		u := NewUsage(NewTerm(fakeLeadership(&term), "me", 0), testIntervalLength, fakeReplica{state.New()}, provider, log.New(io.Discard))
		c := NewCounter("e", testIntervalLength)
		c.Began("a", time.Now())
		runFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(testRoundInterval) {
				u.Record(c.RequestCounts())
				u.round(t.Context())
			}
		}
		runFor(12 * time.Second)
		g.Expect(provider.reports).To(BeEmpty())
		provider.down = false
		runFor(time.Second)
		g.Expect(provider.reports).To(HaveLen(1))
	})
}

// Guards against a leader whose memory grows for as long as it leads: intervals that are too old to report
// are forgotten, and stay so if an entry is not heard of any more.
func TestUsageOfALongTermIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		provider := &fakeProvider{reports: map[uint64][]map[string]int64{}}
		term := uint64(1)
		replica := fakeReplica{state.New()}
		u := NewUsage(NewTerm(fakeLeadership(&term), "me", 0), testIntervalLength, replica, provider, log.New(io.Discard))
		c := NewCounter("e", testIntervalLength)
		began := time.Now()
		for time.Since(began) < time.Hour {
			c.Began("a", time.Now())
			if time.Since(began) < 55*time.Minute {
				u.Record(c.RequestCounts())
			}
			u.round(t.Context())
			time.Sleep(testIntervalLength / 2)
		}
		g.Expect(len(u.committed) + len(u.reported) + len(u.entryCounts)).To(BeNumerically("<=", 3*int(maxReportAge/testIntervalLength+1)))
		g.Expect(len(provider.reports)).To(BeNumerically(">=", int(54*time.Minute/testIntervalLength)))
		for n, r := range provider.reports {
			g.Expect(r).To(HaveLen(1), "interval %d", n)
		}
	})
}

// A process must not act without a valid lease, before its takeover delay has passed, or
// under the fencing token of an earlier term.
func TestTermRequiresLeaseAndTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		term := uint64(0)
		leaderTerm := NewTerm(fakeLeadership(&term), "me", time.Second)
		_, _, ok := leaderTerm.fence(time.Now())
		g.Expect(ok).To(BeFalse())
		term = 7
		_, changed, ok := leaderTerm.fence(time.Now())
		g.Expect(changed).To(BeTrue())
		g.Expect(ok).To(BeFalse(), "a new leader must wait for the takeover delay")
		time.Sleep(time.Second)
		f, changed, ok := leaderTerm.fence(time.Now())
		g.Expect(changed).To(BeFalse())
		g.Expect(ok).To(BeTrue())
		g.Expect(f.Token).To(Equal(uint64(7)))
		term = 8
		_, _, ok = leaderTerm.call(t.Context(), f)
		g.Expect(ok).To(BeFalse())
	})
}

// Guards against engines that wait seconds for weights after a change of the leader or a restart of all
// daemons, and against two leaders that act in turn because the one before had not led for the takeover
// delay.
func TestTermActsEarlyAfterLeaderThatLedForTakeoverDelay(t *testing.T) {
	const delay = 3 * time.Second
	for _, c := range []struct {
		name                  string
		predecessorLed        time.Duration
		configured, restarted bool
		wait                  time.Duration // from the lease
	}{
		{"after a restart", delay, true, true, 0},
		{"after a restart, the predecessor had just taken over", delay - 1, true, true, delay},
		{"after a restart, the predecessor is unknown", 0, true, true, delay},
		{"after an election", delay, true, false, settleDelay},
		{"the predecessor had just taken over", delay - 1, true, false, delay},
		{"the predecessor is unknown", 0, true, false, delay},
		{"a duty that waits always", delay, false, false, delay},
		{"a duty that waits always, after a restart", delay, false, true, delay},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			leased := time.Now()
			term := NewTerm(func() control.Leadership {
				return control.Leadership{
					Term: 7, Since: leased, Until: time.Now().Add(time.Second),
					PredecessorLed: c.predecessorLed, VotersRestarted: c.restarted,
				}
			}, "me", delay)
			if c.configured {
				term.ActingEarly()
			}
			acts := func() bool { _, _, ok := term.fence(time.Now()); return ok }
			if c.wait > 0 {
				g.Expect(acts()).To(BeFalse(), c.name)
				time.Sleep(c.wait - time.Nanosecond)
				g.Expect(acts()).To(BeFalse(), c.name)
				time.Sleep(time.Nanosecond)
			}
			g.Expect(acts()).To(BeTrue(), c.name)
		})
	}
}
