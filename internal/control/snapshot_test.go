package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

func TestSnapshotPartsMustBeContiguous(t *testing.T) {
	g := NewWithT(t)
	r := &Replica{receivedSnapshots: map[consensus.ID]receivedSnapshot{}}
	part := func(from consensus.ID, offset int, data string, last bool) ([]byte, error) {
		return r.appendPart(SnapshotPart{Message: consensus.Message{From: from}, Offset: offset, Data: []byte(data), Last: last})
	}
	for _, p := range []struct {
		offset int
		data   string
		last   bool
	}{{0, "old", false}, {0, "ab", false}, {2, "cd", false}} {
		whole, err := part("a", p.offset, p.data, p.last)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(whole).To(BeNil())
	}
	_, err := part("b", 4, "x", true)
	g.Expect(result.CodeOf(err)).To(Equal(result.BodyMalformed), "parts of different senders must not be mixed")
	whole, err := part("a", 4, "e", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(whole)).To(Equal("abcde"))
	_, err = part("a", 5, "f", true)
	g.Expect(result.CodeOf(err)).To(Equal(result.BodyMalformed), "the parts of a complete snapshot must be discarded")
}
