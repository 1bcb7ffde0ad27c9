package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

var (
	epoch = time.Unix(1_000_000, 0)
	key   = Key{Service: "s", Account: "a"}
)

// clock is a clock that runs faster or slower than true time by this factor.
type clock float64

func (c clock) at(t time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(t) * float64(c)))
}

// pendingReply is a lease that has not been delivered to its holder.
type pendingReply struct {
	to          int
	requestedAt time.Time
	lease       Lease
}

// simCluster simulates one limit over several entries. Leaders change, replies are lost,
// delayed or reordered, and entries are partitioned.
type simCluster struct {
	now         time.Duration
	limit       float64
	clocks      []clock
	holders     []*Holder
	leaderClock clock
	term        uint64
	grantor     *Grantor
	inFlight    []pendingReply
	consumed    []float64 // by tick
}

const tickInterval = 200 * time.Millisecond

func newSimCluster(rt *rapid.T) *simCluster {
	w := &simCluster{limit: rapid.Float64Range(1, 1000).Draw(rt, "limit")}
	for range rapid.IntRange(1, 5).Draw(rt, "entries") {
		w.clocks = append(w.clocks, clock(rapid.Float64Range(1-maxDrift, 1+maxDrift).Draw(rt, "clock")))
		w.holders = append(w.holders, &Holder{})
	}
	w.elect(rt)
	return w
}

func (w *simCluster) elect(rt *rapid.T) {
	w.term++
	w.leaderClock = clock(rapid.Float64Range(1-maxDrift, 1+maxDrift).Draw(rt, "leader"))
	w.grantor = NewGrantor(w.leaderClock.at(w.now), w.term)
}

func (w *simCluster) drawEntry(rt *rapid.T) int {
	return rapid.IntRange(0, len(w.holders)-1).Draw(rt, "entry")
}

func (w *simCluster) requestLease(rt *rapid.T) {
	i := w.drawEntry(rt)
	requestedAt := w.clocks[i].at(w.now)
	if l, ok := w.grantor.Request(w.leaderClock.at(w.now), string(rune('a'+i)), w.holders[i].Request(requestedAt, key), w.limit); ok {
		w.inFlight = append(w.inFlight, pendingReply{i, requestedAt, l})
	}
}

func (w *simCluster) deliverReply(rt *rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	k := rapid.IntRange(0, len(w.inFlight)-1).Draw(rt, "answer")
	x := w.inFlight[k]
	if rapid.IntRange(0, 3).Draw(rt, "lost") > 0 {
		w.holders[x.to].UseLease(w.clocks[x.to].at(w.now), x.requestedAt, x.lease)
	}
	w.inFlight = append(w.inFlight[:k], w.inFlight[k+1:]...)
}

// consume lets entry i consume as much as it can, in small amounts.
func (w *simCluster) consume(i int) {
	cost := w.limit / 100
	for range 400 {
		if w.holders[i].Consume(w.clocks[i].at(w.now), cost) != nil {
			break
		}
		w.consumed[len(w.consumed)-1] += cost
	}
}

// leasedRate returns the sum of the shares that may be used now.
func (w *simCluster) leasedRate() float64 {
	sum := 0.0
	for i, h := range w.holders {
		if w.clocks[i].at(w.now).Before(h.expiresAt) {
			sum += h.rate
		}
	}
	return sum
}

// checkLimits fails if the shares in use exceed the limit, or if over any period more was
// consumed than the limit allows for that period plus one burst.
func (w *simCluster) checkLimits(rt *rapid.T) {
	if w.leasedRate() > w.limit*(1+1e-9) {
		rt.Fatalf("at %v, shares of %g are leased, but the limit is %g", w.now, w.leasedRate(), w.limit)
	}
	sum := 0.0
	for k := len(w.consumed) - 1; k >= 0; k-- {
		sum += w.consumed[k]
		span := time.Duration(len(w.consumed)-k) * tickInterval
		if allowed := w.limit * (span + burstDuration).Seconds(); sum > allowed*(1+1e-9) {
			rt.Fatalf("consumed %g within %v, allowed %g", sum, span, allowed)
		}
	}
}

func TestConsumptionNeverExceedsTheLimit(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimCluster(rt)
		for range 120 {
			w.now += tickInterval
			w.consumed = append(w.consumed, 0)
			busy := rapid.SliceOfN(rapid.Bool(), len(w.holders), len(w.holders)).Draw(rt, "busy")
			for i := range w.holders {
				if busy[i] {
					w.consume(i)
				}
			}
			for range rapid.IntRange(0, 3).Draw(rt, "asks") {
				w.requestLease(rt)
			}
			for range rapid.IntRange(0, 3).Draw(rt, "answers") {
				w.deliverReply(rt)
			}
			if rapid.IntRange(0, 39).Draw(rt, "election") == 0 {
				w.elect(rt)
			}
			w.checkLimits(rt)
		}
	})
}

// Live entries use nearly the whole limit. The share of a lost entry is granted to the
// others after its lease has ended.
func TestShareOfALostEntryIsGrantedAgainAfterItsLease(t *testing.T) {
	g := NewWithT(t)
	grantor := NewGrantor(epoch, 1)
	a, b := &Holder{}, &Holder{}
	run := func(from, to time.Duration, holders ...*Holder) float64 {
		spent := 0.0
		for d := from; d < to; d += 100 * time.Millisecond {
			now := epoch.Add(d)
			for i, h := range holders {
				if l, ok := grantor.Request(now, string(rune('a'+i)), h.Request(now, key), 100); ok {
					h.UseLease(now, now, l)
				}
				for h.Consume(now, 1) == nil {
					spent++
				}
			}
		}
		return spent
	}
	g.Expect(run(0, LeaseDuration, a, b)).To(BeZero(), "leases of an earlier leader may still be in use")
	run(LeaseDuration, 10*time.Second, a, b)
	g.Expect(run(10*time.Second, 20*time.Second, a, b)).To(BeNumerically(">", 900))
	before := a.rate
	g.Expect(run(20*time.Second, 20*time.Second+LeaseDuration/2, a)).To(BeNumerically("<=", before*2))
	run(20*time.Second+LeaseDuration/2, 26*time.Second, a)
	g.Expect(run(26*time.Second, 36*time.Second, a)).To(BeNumerically(">", 900))
	g.Expect(result.CodeOf(b.Consume(epoch.Add(24*time.Second), 1))).To(Equal(result.LimitReached))
}

func TestLeaseDurationsAllowForClockDrift(t *testing.T) {
	g := NewWithT(t)
	slow, fast := 1-maxDrift, 1+maxDrift
	g.Expect(float64(shortenForDrift(LeaseDuration)) / slow).To(BeNumerically("<=", float64(LeaseDuration)/fast))
	g.Expect(float64(extendForDrift(LeaseDuration)) / fast).To(BeNumerically(">=", float64(shortenForDrift(LeaseDuration))/slow))
}
