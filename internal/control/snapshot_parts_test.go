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
