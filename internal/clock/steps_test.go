package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A step must be reported once, with its direction; a suspended machine, whose boot clock
// runs on, and a slewed clock must not be reported.
func TestStepsOfWallClockAreReportedOnce(t *testing.T) {
	g := NewWithT(t)
	var s Steps
	wall, boot := time.Unix(1_000_000, 0), time.Minute
	observe := func(step, elapsed time.Duration) time.Duration {
		wall, boot = wall.Add(step+elapsed), boot+elapsed
		return s.Observe(wall, boot)
	}
	g.Expect(observe(0, 0)).To(BeZero())
	g.Expect(observe(time.Millisecond, time.Second)).To(BeZero(), "slewed")
	g.Expect(observe(0, time.Hour)).To(BeZero(), "suspended")
	g.Expect(observe(20*time.Second, time.Second)).To(Equal(20 * time.Second))
	g.Expect(observe(0, time.Second)).To(BeZero())
	g.Expect(observe(-20*time.Second, time.Second)).To(Equal(-20 * time.Second))
	g.Expect(observe(0, time.Second)).To(BeZero())
}
