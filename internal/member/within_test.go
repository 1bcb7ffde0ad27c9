package member

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/homes"
)

// Guards against entries outside the home regions in an answer while one in them is up, against an
// empty answer while only others are, and against daemons of other regions that are not known.
func TestAnswersPreferHomeRegions(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(Daemon{ID: "e0", Region: "r", Zone: "z0", Fresh: true, CallerAddress: "e0"})
	table.AllRegions = true
	table.Merge(time.Now(), Daemon{ID: "e1", Incarnation: 1, Region: "far", Zone: "f0", Fresh: true, CallerAddress: "e1"})
	table.Merge(time.Now(), Daemon{ID: "s1", Incarnation: 1, Region: "none", Zone: "n0", Fresh: true})
	g.Expect(table.Live()).To(HaveLen(3))
	answer := func(regions ...string) (out []string) {
		for _, d := range AnswerWithin(table.Live(), homes.Of(regions), Caller{Zone: "z0"}) {
			out = append(out, d.ID)
		}
		return out
	}
	g.Expect(answer("far")).To(Equal([]string{"e1"}))
	g.Expect(answer("r")).To(Equal([]string{"e0"}))
	g.Expect(answer("none")).To(ConsistOf("e0", "e1"))
	g.Expect(answer()).To(ConsistOf("e0", "e1"))
}
