package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/result"
)

// A resent command must get the outcome of the first one, also after a restart. Another
// command with the same operation ID must be rejected and change nothing.
func TestOperationIsAppliedOnce(t *testing.T) {
	g := NewWithT(t)
	s := New()
	create := func(name string, at int64) Command {
		return Command{Op: "op", At: time.Unix(at, 0), AccountCreate: &AccountCreate{Name: name}}
	}
	first := s.Apply(create("a", 1))
	g.Expect(first.Code).To(Equal(result.OK))
	g.Expect(s.Apply(create("a", 2))).To(Equal(first))
	b, err := s.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	s, err = Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Apply(create("a", 3))).To(Equal(first))
	g.Expect(s.Apply(create("b", 4)).Code).To(Equal(result.IdempotencyKeyReused))
	g.Expect(s.Config.Version).To(Equal(first.Version))
}
