package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a prompt that crashes every upstream and takes them down without limit:
// the delay must grow with each crash up to maxCrashDelay, and never be longer than the
// crashes have lasted, so that a prompt that is not the cause is not kept waiting.
func TestCrashDelayGrowsWithTheDurationOfTheCrashes(t *testing.T) {
	g := NewWithT(t)
	var b crashBackoff
	began := time.Unix(1000, 0)
	now := began
	for n := range 20 {
		g.Expect(b.mayStart(now, 1)).To(BeTrue())
		b.start(1)
		b.recordCrash(now, 1, fmt.Sprint("u", n))
		b.recordCrash(now, 1, fmt.Sprint("u", n)) // by another sample
		b.endAlone(1)
		g.Expect(b.mayStart(now, 2)).To(BeTrue(), "another group")
		delay := b.groups[1].notBefore.Sub(now)
		g.Expect(delay).To(BeNumerically("<=", min(maxCrashDelay, now.Sub(began)+minCrashDelay)))
		g.Expect(delay).To(BeNumerically(">=", min(maxCrashDelay, now.Sub(began))))
		g.Expect(b.mayStart(now.Add(delay-1), 1)).To(BeFalse())
		now = now.Add(delay)
	}
	g.Expect(now.Sub(began)).To(BeNumerically(">", 10*maxCrashDelay))
	b.recordCompletion(1)
	g.Expect(b.mayStart(now, 1)).To(BeTrue())
	g.Expect(b.start(1)).To(BeFalse())
}

// Guards against a group of samples that crashes as many upstreams at once as it has
// samples: after two crashes they run one after the other, until one has run for a while.
func TestSamplesRunAloneAfterTwoCrashes(t *testing.T) {
	g := NewWithT(t)
	var b crashBackoff
	now := time.Unix(1000, 0)
	b.recordCrash(now, 1, "u1#1")
	now = now.Add(maxCrashDelay)
	g.Expect(b.start(1)).To(BeFalse(), "one crash")
	b.recordCrash(now, 1, "u1#2")
	now = now.Add(maxCrashDelay)
	g.Expect(b.mayStart(now, 1)).To(BeTrue())
	g.Expect(b.start(1)).To(BeTrue(), "two crashes")
	g.Expect(b.mayStart(now, 1)).To(BeFalse(), "one runs alone")
	b.recordSurvival(1)
	g.Expect(b.mayStart(now, 1)).To(BeTrue(), "it has survived")
	g.Expect(b.start(1)).To(BeFalse())
	b.recordCrash(now, 1, "u2#1")
	now = now.Add(maxCrashDelay)
	g.Expect(b.mayStart(now, 1)).To(BeFalse(), "the sample that was started alone still runs")
	b.endAlone(1)
	g.Expect(b.start(1)).To(BeTrue())
}
