package control

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Guards against a snapshot that is put together from the parts of two transfers, which is
// found out only when its checksum is wrong, after the sender was told of a success.
func TestPartOfAnotherTransferIsRejected(t *testing.T) {
	g := NewWithT(t)
	r := transferReplica(t)
	part := func(transfer uint64, offset int, last bool) SnapshotPart {
		return SnapshotPart{Transfer: transfer, Offset: offset, Last: last, Size: 20, Data: bytes.Repeat([]byte{byte(transfer)}, 10), Message: consensus.Message{From: "a"}}
	}
	_, err := r.appendPart(part(1, 0, false))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = r.appendPart(part(2, 10, true))
	g.Expect(err).To(HaveOccurred())
}

// Parts of a snapshot whose sender was lost stayed in memory as long as the process: with each lost
// leader the size of the state once more.
func TestPartsOfLostLeaderAreDiscarded(t *testing.T) {
	g := NewWithT(t)
	to := transferReplica(t)
	part := func(from consensus.ID, term, transfer uint64, offset int) SnapshotPart {
		return SnapshotPart{Message: consensus.Message{From: from, Term: term}, Transfer: transfer, Size: 2 * snapshotPartBytes, Offset: offset, Data: make([]byte, snapshotPartBytes)}
	}
	held := func() int {
		bytes := 0
		for _, s := range to.receivedSnapshots {
			bytes += cap(s.data)
		}
		return bytes
	}
	for i, from := range []consensus.ID{"a", "c", "d"} {
		_, err := to.appendPart(part(from, uint64(3+i), uint64(1+i), 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(held()).To(Equal(2 * snapshotPartBytes))
	}
	_, err := to.appendPart(part("c", 4, 2, snapshotPartBytes)) // it has been cut off
	g.Expect(err).To(HaveOccurred())
	_, err = to.appendPart(part("c", 4, 4, 0))
	g.Expect(err).NotTo(HaveOccurred())
	last := part("d", 5, 3, snapshotPartBytes)
	last.Last = true
	whole, err := to.appendPart(last)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole).To(HaveLen(2 * snapshotPartBytes))
}
