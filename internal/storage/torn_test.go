package storage

import (
	"bytes"
	"math/bits"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// recordOffsets puts each byte of a record header at the start of a block once.
func recordOffsets() []int {
	out := []int{0, 100}
	for n := 1; n <= recordHeaderBytes+1; n++ {
		out = append(out, diskBlockBytes-n)
	}
	return out
}

// fileWithRecord returns a file with a record of several blocks at offset.
func fileWithRecord(g *WithT, offset int) []byte {
	b, err := encodeRecord(record{Hard: &consensus.HardState{Term: 1}, Entries: []consensus.Entry{dataEntry(2)}})
	g.Expect(err).NotTo(HaveOccurred())
	return append(bytes.Repeat([]byte{1}, offset), b...)
}

// withIntactRecord appends an intact record to a file.
func withIntactRecord(g *WithT, file []byte) []byte {
	b, err := encodeRecord(record{Entries: []consensus.Entry{dataEntry(3)}})
	g.Expect(err).NotTo(HaveOccurred())
	return append(bytes.Clone(file), b...)
}

// clearBytes returns file with zeros from one offset to another.
func clearBytes(file []byte, from, to int) []byte {
	out := bytes.Clone(file)
	clear(out[from:to])
	return out
}

func statusAt(file []byte, offset int) recordStatus {
	_, _, status := decodeRecord(file, offset)
	return status
}

// The last record of a log lacks any of its blocks after a loss of power during its write.
// Guards against a replica that never starts again because it takes this for damage.
func TestLastRecordWithMissingBlocksIsTorn(t *testing.T) {
	g := NewWithT(t)
	for _, offset := range recordOffsets() {
		file := fileWithRecord(g, offset)
		firstBlock, blocks := offset/diskBlockBytes, (len(file)-1)/diskBlockBytes+1
		for from := firstBlock; from < blocks; from++ {
			for to := from + 1; to <= blocks; to++ {
				start, end := max(offset, from*diskBlockBytes), min(len(file), to*diskBlockBytes)
				torn := clearBytes(file, start, end)
				g.Expect(statusAt(torn, offset)).To(Equal(recordTorn), "record at %d without bytes %d to %d", offset, start, end)
				g.Expect(statusAt(withIntactRecord(g, torn), offset)).To(Equal(recordDamaged), "record at %d without bytes %d to %d before an intact record", offset, start, end)
			}
		}
	}
}

// A torn write need not end at a block. Guards against the same refusal.
func TestLastRecordWithMissingBytesIsTorn(t *testing.T) {
	g := NewWithT(t)
	for _, offset := range recordOffsets() {
		file := fileWithRecord(g, offset)
		for from := offset; from < offset+2*recordHeaderBytes; from++ {
			for _, n := range []int{minTornBytes, 100, len(file)} {
				torn := clearBytes(file, from, min(len(file), from+n))
				g.Expect(statusAt(torn, offset)).To(Equal(recordTorn), "record at %d without %d bytes from %d", offset, n, from)
			}
		}
	}
}

// The record of a hard state is smaller than a block, and any of its bytes may be missing. It
// is torn unless what is missing is one bit, which may have been flipped. Guards against
// the same refusal.
func TestSmallRecordWithMissingBytesIsTorn(t *testing.T) {
	g := NewWithT(t)
	for _, bodyBytes := range []int{60, 300} {
		file := recordOfSize(g, bodyBytes)
		for from := range file {
			for to := from + 1; to <= len(file); to++ {
				torn := clearBytes(file, from, to)
				expected := recordTorn
				switch missingBits(file, torn) {
				case 0:
					expected = recordIntact
				case 1:
					expected = recordDamaged
				}
				g.Expect(statusAt(torn, 0)).To(Equal(expected), "body of %d bytes, record without bytes %d to %d", bodyBytes, from, to)
			}
		}
	}
}

// missingBits returns the number of bits in which two files differ.
func missingBits(a, b []byte) int {
	n := 0
	for i := range a {
		n += bits.OnesCount8(a[i] ^ b[i])
	}
	return n
}

// recordOfSize returns the record of a hard state whose body has a size.
func recordOfSize(g *WithT, bodyBytes int) []byte {
	b, err := encodeRecord(record{Hard: &consensus.HardState{Vote: "v"}})
	g.Expect(err).NotTo(HaveOccurred())
	vote := strings.Repeat("@", 1+bodyBytes-(len(b)-recordHeaderBytes)) // one flipped bit makes @ zero
	b, err = encodeRecord(record{Hard: &consensus.HardState{Vote: consensus.ID(vote)}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b).To(HaveLen(recordHeaderBytes + bodyBytes))
	return b
}

// expectDamagedByAnyBit flips each bit of the record at offset in turn.
func expectDamagedByAnyBit(t *testing.T, file []byte, offset int) {
	for i := offset; i < len(file); i++ {
		for bit := byte(1); bit != 0; bit <<= 1 {
			file[i] ^= bit
			if s := statusAt(file, offset); s != recordDamaged {
				t.Fatalf("record at %d with a flipped bit in byte %d: status %d", offset, i, s)
			}
			file[i] ^= bit
		}
	}
}

// A flipped bit isn't a missing part, also in the last record. Guards against cutting a
// record that was acknowledged.
func TestFlippedBitIsNotTorn(t *testing.T) {
	g := NewWithT(t)
	for _, offset := range recordOffsets() {
		expectDamagedByAnyBit(t, fileWithRecord(g, offset), offset)
	}
}

// If the length of a body is a power of two, one flipped bit makes it zero. Guards against
// taking that for a missing start of the header.
func TestFlippedLengthIsNotTorn(t *testing.T) {
	g := NewWithT(t)
	expectDamagedByAnyBit(t, recordOfSize(g, 256), 0)
}
