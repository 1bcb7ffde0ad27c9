package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulateSamples simulates eight samples for the given time. The first one resumes after
// prefix tokens and is generated at slow tokens per second, the others at fast tokens per
// second. It returns the times of the moves, by slot.
func simulateSamples(d *StragglerDetector, prefix, slow, fast int, length time.Duration) map[int]time.Duration {
	const tick = 100 * time.Millisecond
	start := time.Unix(0, 0)
	out := map[int]time.Duration{}
	for slot := range 8 {
		d.StartSample(start, slot, prefix)
		prefix = 0
	}
	for at := tick; at <= length; at += tick {
		now := start.Add(at)
		for slot := range 8 {
			rate := fast
			if slot == 0 {
				rate = slow
			}
			d.RecordTokens(now, slot, rate/10)
		}
		for _, slot := range d.Stragglers(now) {
			out[slot] = at
		}
	}
	return out
}

func TestSlowSamplesAreStragglers(t *testing.T) {
	g := NewWithT(t)
	slow := simulateSamples(NewStragglerDetector(1), 0, 10, 100, 10*time.Second)
	g.Expect(slow).To(HaveLen(1))
	g.Expect(slow[0]).To(BeNumerically("<", 4*time.Second))
	// A sample without a first token is a straggler.
	g.Expect(simulateSamples(NewStragglerDetector(1), 0, 0, 100, 10*time.Second)).To(HaveKey(0))
	// A sample at 40 % of the rate of the others is not a straggler.
	g.Expect(simulateSamples(NewStragglerDetector(1), 0, 40, 100, 10*time.Second)).To(BeEmpty())
	g.Expect(simulateSamples(NewStragglerDetector(0), 0, 10, 100, 10*time.Second)).To(BeEmpty())
}

// The reread tokens of moves stay within maxRereadShare of the generated tokens. A sample
// with a long prefix moves only after the others have generated enough.
func TestMovesStayWithinTheRereadBudget(t *testing.T) {
	g := NewWithT(t)
	d := NewStragglerDetector(1)
	moved := simulateSamples(d, 1000, 10, 100, 60*time.Second)
	g.Expect(moved[0]).To(BeNumerically(">", 20*time.Second))
	g.Expect(d.rereadTokens).To(BeNumerically("<=", int(maxRereadShare*float64(d.totalTokens))))
}
