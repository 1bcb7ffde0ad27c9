package ratecap

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
)

// Guards against tokens beyond the rate: over any span, whoever asks for whatever, with a
// rate that changes, no more are issued than the highest rate of the span allows, plus one
// burst.
func TestTokensStayWithinTheRate(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		const tick = 50 * time.Millisecond
		s := NewIssuer()
		c := Cap{Incarnation: 1, NamedAt: epoch}
		var issued, rates []float64
		for i := range 200 {
			if i == 0 || rapid.IntRange(0, 19).Draw(rt, "change") == 0 {
				c.Rate = rapid.Float64Range(0.05, 60).Draw(rt, "rate")
			}
			now := epoch.Add(time.Duration(i) * tick)
			n := 0.0
			for range rapid.IntRange(0, 8).Draw(rt, "requests") {
				p := rapid.SampledFrom([]Purpose{ForCaller, ForBackground}).Draw(rt, "purpose")
				if rapid.Bool().Draw(rt, "counted") && s.Available(now, "u", c, p) == 0 {
					continue
				}
				if ok, wait := s.Acquire(now, "u", c, p); ok {
					n++
				} else if wait <= 0 {
					rt.Fatalf("rejected without a time to wait")
				}
			}
			issued, rates = append(issued, n), append(rates, c.Rate)
			sum, highest := 0.0, 0.0
			for k := i; k >= 0; k-- {
				sum, highest = sum+issued[k], max(highest, rates[k])
				span := (time.Duration(i-k+1) * tick).Seconds()
				if allowed := highest*(span+burstTime.Seconds()) + minBurst; sum > allowed+1e-6 {
					rt.Fatalf("%g tokens in %g s, at most %g a second", sum, span, highest)
				}
			}
		}
	})
}

// Guards against callers who starve beside hundreds of reward requests that try all the
// time, and against reward requests that starve beside callers. Alone, each gets all.
func TestCallersAndBackgroundWorkShareTheRate(t *testing.T) {
	for _, c := range []struct {
		name             string
		rate             float64
		callers, rewards int // requests a second
		least            [2]float64
	}{
		{"few callers beside a flood of rewards", 6, 2, 500, [2]float64{0.95 * 2, 0.9 * 4}},
		{"both press", 6, 100, 100, [2]float64{0.45 * 6, 0.45 * 6}},
		{"both press at a low rate", 0.5, 100, 100, [2]float64{0.4 * 0.5, 0.4 * 0.5}},
		{"callers alone", 6, 100, 0, [2]float64{0.95 * 6, 0}},
		{"rewards alone", 6, 0, 100, [2]float64{0, 0.95 * 6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := NewIssuer()
			x := Cap{Incarnation: 1, Rate: c.rate, NamedAt: epoch}
			const seconds = 60
			got := [2]float64{}
			for ms := range seconds * 1000 {
				now := epoch.Add(time.Duration(ms) * time.Millisecond)
				for p, perSecond := range [2]int{c.callers, c.rewards} {
					if perSecond > 0 && ms%(1000/perSecond) == 0 {
						if ok, _ := s.Acquire(now, "u", x, Purpose(p)); ok {
							got[p]++
						}
					}
				}
			}
			g.Expect(got[0] / seconds).To(BeNumerically(">=", c.least[0]))
			g.Expect(got[1] / seconds).To(BeNumerically(">=", c.least[1]))
		})
	}
}
