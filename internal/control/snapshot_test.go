package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

func TestSnapshotPartsMustFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	r := &Replica{parts: map[consensus.ID][]byte{}}
	part := func(from consensus.ID, offset int, data string, last bool) ([]byte, error) {
		return r.collect(SnapshotPart{Message: consensus.Message{From: from}, Offset: offset, Data: []byte(data), Last: last})
	}
	for _, step := range []struct {
		offset int
		data   string
		last   bool
	}{{0, "old", false}, {0, "ab", false}, {2, "cd", false}} {
		whole, err := part("a", step.offset, step.data, step.last)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(whole).To(BeNil())
	}
	_, err := part("b", 4, "x", true)
	g.Expect(result.CodeOf(err)).To(Equal(result.BodyMalformed), "another sender's parts do not mix")
	whole, err := part("a", 4, "e", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(whole)).To(Equal("abcde"))
	_, err = part("a", 5, "f", true)
	g.Expect(result.CodeOf(err)).To(Equal(result.BodyMalformed), "nothing is left of a snapshot that is whole")
}
