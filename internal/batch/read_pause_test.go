package batch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// With hundreds of attempts in flight, the number of reads per second of the leader stays
// bounded. A few attempts are read without a pause.
func TestReadRateIsBoundedWithHundredsOfAttempts(t *testing.T) {
	g := NewWithT(t)
	const eventsPerSecond = 40 // of one attempt
	readsPerSecond := func(inFlight int) float64 {
		perAttempt := float64(eventsPerSecond)
		if p := readPause(inFlight); p > 0 {
			perAttempt = min(perAttempt, 1/p.Seconds())
		}
		return perAttempt * float64(inFlight)
	}
	g.Expect(readPause(1)).To(BeZero())
	g.Expect(readPause(maxAttemptsWithoutPause)).To(BeZero())
	for inFlight := 1; inFlight <= 400; inFlight += 7 {
		g.Expect(readPause(inFlight)).To(BeNumerically("<=", 100*time.Millisecond))
		g.Expect(readPause(inFlight + 1)).To(BeNumerically(">=", readPause(inFlight)))
		g.Expect(readsPerSecond(inFlight)).To(BeNumerically("<=", 4000), "%d attempts in flight", inFlight)
	}
	g.Expect(readsPerSecond(228)).To(BeNumerically("<=", 2600), "about 9,000 without a pause")
}
