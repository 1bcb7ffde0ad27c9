package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
)

const ms = time.Millisecond

func permit(term uint64, until time.Duration) Permit {
	return Permit{Term: term, Incarnation: 1, Until: until}
}

// A carrier that was frozen reads the request when the leader has given the run up.
func TestRunIsRefusedWhenItsPermitHasRunOut(t *testing.T) {
	g := NewWithT(t)
	p := newRunPermits(1)
	ok, _ := p.begin(5000*ms, permit(1, 5000*ms), "a")
	g.Expect(ok).To(BeFalse())
	ok, _ = p.begin(4999*ms, permit(1, 5000*ms), "a")
	g.Expect(ok).To(BeTrue())
	ok, _ = p.begin(4999*ms, Permit{Term: 1, Incarnation: 2, Until: 5000 * ms}, "b")
	g.Expect(ok).To(BeFalse(), "permit for an earlier process")
}

// The holds that were sent before a freeze are read after it, in one go. They must not renew
// anything.
func TestHoldReadLateDoesNotRenewRuns(t *testing.T) {
	g := NewWithT(t)
	p := newRunPermits(1)
	p.begin(0, permit(1, 1000*ms), "a")
	g.Expect(p.hold(4000*ms, Hold{Permit: permit(1, 1200*ms), Runs: []HeldRun{{Run: "a"}}})).To(BeEmpty())
	g.Expect(p.expire(4000 * ms)).To(ConsistOf("a"))
}

func TestHoldEndsTheRunsThatItDoesNotList(t *testing.T) {
	g := NewWithT(t)
	p := newRunPermits(1)
	p.begin(0, permit(1, 1000*ms), "a")
	p.begin(0, permit(1, 1000*ms), "b")
	p.begin(100*ms, permit(1, 1200*ms), "begun after the hold was sent")
	g.Expect(p.hold(200*ms, Hold{Permit: permit(1, 1100*ms), Runs: []HeldRun{{Run: "a"}}})).To(ConsistOf("b"))
	g.Expect(p.expire(1100 * ms)).To(ConsistOf("a"))
	g.Expect(p.expire(1200 * ms)).To(ConsistOf("begun after the hold was sent"))
}

// Around a change of the leader, the runs of the old one end when the new one is heard of, and
// nothing of the old one counts afterwards.
func TestLaterTermEndsTheRunsOfTheEarlierOne(t *testing.T) {
	g := NewWithT(t)
	p := newRunPermits(1)
	p.begin(0, permit(1, 1000*ms), "old")
	ok, ended := p.begin(10*ms, permit(2, 1000*ms), "new")
	g.Expect(ok).To(BeTrue())
	g.Expect(ended).To(ConsistOf("old"))
	ok, _ = p.begin(20*ms, permit(1, 2000*ms), "late")
	g.Expect(ok).To(BeFalse())
	g.Expect(p.hold(20*ms, Hold{Permit: permit(1, 2000*ms)})).To(BeEmpty())
	g.Expect(p.expire(900 * ms)).To(BeEmpty())
}

// exchange simulates a leader, a carrier whose clock has another origin, and messages between
// them that are delayed and lost. Whatever happens, no run goes on at the carrier once the
// leader counts it as ended.
func TestNoRunOutlivesWhatTheLeaderCountsOn(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		origin := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(rt, "origin"))
		delay := func() time.Duration { return time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay ms")) * ms }
		carrier := newRunPermits(1)
		var offset carrierOffset
		now := time.Duration(0)
		offset.observe(now+delay(), CarrierClock{Incarnation: 1, Now: now + origin})
		type message struct {
			at   time.Duration
			hold *Hold
			run  string
			q    Permit
		}
		var inFlight []message
		heldAt := map[string]time.Duration{} // when the leader last renewed a run
		released := map[string]bool{}
		deliver := func() {
			for i := 0; i < len(inFlight); i++ {
				m := inFlight[i]
				if m.at > now {
					continue
				}
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				i--
				if m.hold != nil {
					carrier.hold(now+origin, *m.hold)
				} else {
					carrier.begin(now+origin, m.q, m.run)
				}
			}
			carrier.expire(now + origin)
			for run := range carrier.until {
				if released[run] {
					g.Expect(now).To(BeNumerically("<=", heldAt[run]+permitDuration), "run goes on after its permit")
				}
			}
		}
		for i := range rapid.IntRange(5, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "step ms")) * ms
			deliver()
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				run := fmt.Sprint("r", i)
				heldAt[run] = now
				inFlight = append(inFlight, message{at: now + delay(), run: run, q: offset.permit(now, 1, "l")})
			case 1:
				h := &Hold{Permit: offset.permit(now, 1, "l")}
				for run := range heldAt {
					if !released[run] {
						heldAt[run] = now
						h.Runs = append(h.Runs, HeldRun{Run: run})
					}
				}
				inFlight = append(inFlight, message{at: now + delay(), hold: h})
			case 2:
				for run := range heldAt {
					released[run] = released[run] || rapid.Bool().Draw(rt, "release")
				}
			case 3:
				read := now
				offset.observe(now+delay(), CarrierClock{Incarnation: 1, Now: read + origin})
			}
		}
		now += 10 * time.Second
		deliver()
		g.Expect(carrier.until).To(BeEmpty())
	})
}

// A reading that arrives late must not make the estimate worse, and a new process has a new
// clock.
func TestCarrierClockIsNeverEstimatedAhead(t *testing.T) {
	g := NewWithT(t)
	var o carrierOffset
	o.observe(1000*ms, CarrierClock{Incarnation: 1, Now: 500 * ms})
	o.observe(3000*ms, CarrierClock{Incarnation: 1, Now: 600 * ms}) // delayed by two seconds
	g.Expect(o.permit(3000*ms, 1, "l").Until).To(Equal(2500*ms + permitDuration))
	o.observe(4000*ms, CarrierClock{Incarnation: 2, Now: 10 * ms})
	g.Expect(o.permit(4000*ms, 1, "l")).To(Equal(Permit{Term: 1, Leader: "l", Incarnation: 2, Until: 10*ms + permitDuration}))
}
