package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// paceRun lets eight samples run for a while, the first after prefix tokens at
// rate slow and the others at rate fast, in tokens a second, and returns who was
// moved when.
func paceRun(p *Pace, prefix, slow, fast int, length time.Duration) map[int]time.Duration {
	const tick = 100 * time.Millisecond
	began := time.Unix(0, 0)
	out := map[int]time.Duration{}
	for slot := range 8 {
		p.StartSample(began, slot, prefix)
		prefix = 0
	}
	for at := tick; at <= length; at += tick {
		now := began.Add(at)
		for slot := range 8 {
			rate := fast
			if slot == 0 {
				rate = slow
			}
			p.RecordTokens(now, slot, rate/10)
		}
		for _, slot := range p.Stragglers(now) {
			out[slot] = at
		}
	}
	return out
}

func TestSlowSamplesMove(t *testing.T) {
	g := NewWithT(t)
	slow := paceRun(NewPace(1), 0, 10, 100, 10*time.Second)
	g.Expect(slow).To(HaveLen(1))
	g.Expect(slow[0]).To(BeNumerically("<", 4*time.Second))
	// No first token at all.
	g.Expect(paceRun(NewPace(1), 0, 0, 100, 10*time.Second)).To(HaveKey(0))
	// Somewhat slower than the others is no straggler.
	g.Expect(paceRun(NewPace(1), 0, 40, 100, 10*time.Second)).To(BeEmpty())
	g.Expect(paceRun(NewPace(0), 0, 10, 100, 10*time.Second)).To(BeEmpty())
}

// Moving costs at most its share of the tokens generated: a sample with a long
// beginning waits until the others have generated enough.
func TestMovesKeepTheirBudget(t *testing.T) {
	g := NewWithT(t)
	p := NewPace(1)
	moved := paceRun(p, 1000, 10, 100, 60*time.Second)
	g.Expect(moved[0]).To(BeNumerically(">", 20*time.Second))
	g.Expect(p.reread).To(BeNumerically("<=", int(moveShare*float64(p.total))))
}
