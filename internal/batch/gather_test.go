package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Hundreds of engines stream to one leader: its reads a second stay bounded, and a
// few runs are not delayed.
func TestReadsStayBoundedWhileHundredsOfRunsStream(t *testing.T) {
	g := NewWithT(t)
	const events = 40 // a second, of one run
	reads := func(running int) float64 {
		perRun := float64(events)
		if p := gatherPause(running); p > 0 {
			perRun = min(perRun, 1/p.Seconds())
		}
		return perRun * float64(running)
	}
	g.Expect(gatherPause(1)).To(BeZero())
	g.Expect(gatherPause(gatherFrom)).To(BeZero())
	for running := 1; running <= 400; running += 7 {
		g.Expect(gatherPause(running)).To(BeNumerically("<=", 100*time.Millisecond))
		g.Expect(gatherPause(running + 1)).To(BeNumerically(">=", gatherPause(running)))
		g.Expect(reads(running)).To(BeNumerically("<=", 4000), "%d runs", running)
	}
	g.Expect(reads(228)).To(BeNumerically("<=", 2600), "instead of 9,000")
}
