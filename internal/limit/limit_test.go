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

// clock runs faster or slower than true time.
type clock float64

func (c clock) at(t time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(t) * float64(c)))
}

// answer is a lease on its way to a holder.
type answer struct {
	to    int
	asked time.Time
	lease Lease
}

// world is one limit over several entries; leaders change, answers are lost, late
// or out of order, and entries are cut off.
type world struct {
	now     time.Duration
	limit   float64
	clocks  []clock
	holders []*Holder
	leader  clock
	term    uint64
	grantor *Grantor
	flying  []answer
	spent   []float64 // by every tick
}

const tick = 200 * time.Millisecond

func newWorld(rt *rapid.T) *world {
	w := &world{limit: rapid.Float64Range(1, 1000).Draw(rt, "limit")}
	for range rapid.IntRange(1, 5).Draw(rt, "entries") {
		w.clocks = append(w.clocks, clock(rapid.Float64Range(1-maxDrift, 1+maxDrift).Draw(rt, "clock")))
		w.holders = append(w.holders, &Holder{})
	}
	w.elect(rt)
	return w
}

func (w *world) elect(rt *rapid.T) {
	w.term++
	w.leader = clock(rapid.Float64Range(1-maxDrift, 1+maxDrift).Draw(rt, "leader"))
	w.grantor = NewGrantor(w.leader.at(w.now), w.term)
}

func (w *world) entry(rt *rapid.T) int {
	return rapid.IntRange(0, len(w.holders)-1).Draw(rt, "entry")
}

func (w *world) ask(rt *rapid.T) {
	i := w.entry(rt)
	asked := w.clocks[i].at(w.now)
	if l, ok := w.grantor.Ask(w.leader.at(w.now), string(rune('a'+i)), w.holders[i].Ask(asked, key), w.limit); ok {
		w.flying = append(w.flying, answer{i, asked, l})
	}
}

func (w *world) deliver(rt *rapid.T) {
	if len(w.flying) == 0 {
		return
	}
	k := rapid.IntRange(0, len(w.flying)-1).Draw(rt, "answer")
	x := w.flying[k]
	if rapid.IntRange(0, 3).Draw(rt, "lost") > 0 {
		w.holders[x.to].Take(w.clocks[x.to].at(w.now), x.asked, x.lease)
	}
	w.flying = append(w.flying[:k], w.flying[k+1:]...)
}

// spend lets entry i spend all it can, in small pieces.
func (w *world) spend(i int) {
	cost := w.limit / 100
	for range 400 {
		if w.holders[i].Consume(w.clocks[i].at(w.now), cost) != nil {
			break
		}
		w.spent[len(w.spent)-1] += cost
	}
}

// leased is the sum of the shares that may be spent now.
func (w *world) leased() float64 {
	sum := 0.0
	for i, h := range w.holders {
		if w.clocks[i].at(w.now).Before(h.until) {
			sum += h.rate
		}
	}
	return sum
}

// check: the shares in use never pass the limit, and over any span of time no
// more is spent than the limit allows for that span, and one burst.
func (w *world) check(rt *rapid.T) {
	if w.leased() > w.limit*(1+1e-9) {
		rt.Fatalf("at %v shares of %g are leased, the limit is %g", w.now, w.leased(), w.limit)
	}
	sum := 0.0
	for k := len(w.spent) - 1; k >= 0; k-- {
		sum += w.spent[k]
		span := time.Duration(len(w.spent)-k) * tick
		if allowed := w.limit * (span + burstTime).Seconds(); sum > allowed*(1+1e-9) {
			rt.Fatalf("spent %g within %v, allowed %g", sum, span, allowed)
		}
	}
}

func TestSpendingNeverPassesTheLimit(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range 120 {
			w.now += tick
			w.spent = append(w.spent, 0)
			busy := rapid.SliceOfN(rapid.Bool(), len(w.holders), len(w.holders)).Draw(rt, "busy")
			for i := range w.holders {
				if busy[i] {
					w.spend(i)
				}
			}
			for range rapid.IntRange(0, 3).Draw(rt, "asks") {
				w.ask(rt)
			}
			for range rapid.IntRange(0, 3).Draw(rt, "answers") {
				w.deliver(rt)
			}
			if rapid.IntRange(0, 39).Draw(rt, "election") == 0 {
				w.elect(rt)
			}
			w.check(rt)
		}
	})
}

// All entries in touch spend nearly the whole limit, and the share of a lost one
// is spent by the others after its lease.
func TestLostShareIsSpentAnewAfterItsLease(t *testing.T) {
	g := NewWithT(t)
	grantor := NewGrantor(epoch, 1)
	a, b := &Holder{}, &Holder{}
	run := func(from, to time.Duration, holders ...*Holder) float64 {
		spent := 0.0
		for d := from; d < to; d += 100 * time.Millisecond {
			now := epoch.Add(d)
			for i, h := range holders {
				if l, ok := grantor.Ask(now, string(rune('a'+i)), h.Ask(now, key), 100); ok {
					h.Take(now, now, l)
				}
				for h.Consume(now, 1) == nil {
					spent++
				}
			}
		}
		return spent
	}
	g.Expect(run(0, LeaseTime, a, b)).To(BeZero(), "an earlier leader's leases run")
	run(LeaseTime, 10*time.Second, a, b)
	g.Expect(run(10*time.Second, 20*time.Second, a, b)).To(BeNumerically(">", 900))
	before := a.rate
	g.Expect(run(20*time.Second, 20*time.Second+LeaseTime/2, a)).To(BeNumerically("<=", before*2))
	run(20*time.Second+LeaseTime/2, 26*time.Second, a)
	g.Expect(run(26*time.Second, 36*time.Second, a)).To(BeNumerically(">", 900))
	g.Expect(result.CodeOf(b.Consume(epoch.Add(24*time.Second), 1))).To(Equal(result.LimitReached))
}

func TestLeaseTimesAllowForDrift(t *testing.T) {
	g := NewWithT(t)
	slow, fast := 1-maxDrift, 1+maxDrift
	g.Expect(float64(shorter(LeaseTime)) / slow).To(BeNumerically("<=", float64(LeaseTime)/fast))
	g.Expect(float64(longer(LeaseTime)) / fast).To(BeNumerically(">=", float64(shorter(LeaseTime))/slow))
}
