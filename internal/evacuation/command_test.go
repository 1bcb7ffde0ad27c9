package evacuation

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/state"
)

// Guards against a command in the log that stops the replicas of older builds.
func TestNoEvacuationBelowItsLevel(t *testing.T) {
	g := NewWithT(t)
	_, err := Command(minLevel-1, "a", true)
	g.Expect(result.CodeOf(err).Info().Class).To(Equal(result.NotRun))
	g.Expect(result.CodeOf(err).Info().Status).To(Equal(503))
	g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
	c, err := Command(minLevel, "a", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*c.EvacuationPut).To(Equal(state.EvacuationPut{Zone: "a", Evacuated: true}))
}
