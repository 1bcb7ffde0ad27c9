package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a founder that forms a group although one can exist, and against a first
// start that never ends because a founder is missing.
func TestFoundingDecision(t *testing.T) {
	g := NewWithT(t)
	const long = foundingPatience
	for _, c := range []struct {
		founders, isNew int
		formed          bool
		waited          time.Duration
		want            foundingDecision
	}{
		{1, 1, false, 0, foundingForm},
		{3, 3, false, 0, foundingForm},
		{3, 2, false, foundingGrace, foundingOpen}, // the third may have formed it with this one
		{3, 2, false, long, foundingForm},
		{3, 1, false, 10 * long, foundingOpen},
		{3, 2, true, long, foundingJoin},
		{3, 3, true, 0, foundingJoin},
		{5, 4, false, 0, foundingOpen},
		{5, 4, false, foundingGrace, foundingForm}, // one other can't have formed it with this one
		{5, 3, false, foundingGrace, foundingOpen},
		{5, 3, false, long, foundingForm},
		{5, 2, false, 10 * long, foundingOpen},
	} {
		g.Expect(decideFounding(c.founders, c.isNew, c.formed, c.waited)).To(Equal(c.want), "%+v", c)
	}
}
