package storage

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// The check must tell whether the disk stores a file, and leave nothing behind. Guards
// against a check that itself fills the disk.
func TestCheckWritableLeavesNoFile(t *testing.T) {
	g := NewWithT(t)
	disk, _ := newSimulatedFolder(g)
	before, err := disk.readDir("data")
	g.Expect(err).NotTo(HaveOccurred())
	for _, fault := range []error{nil, errDiskFull, errSyncFailed} {
		disk.full, disk.failSync = fault == errDiskFull, fault == errSyncFailed
		if err := checkWritable(disk, "data"); fault != nil {
			g.Expect(err).To(MatchError(fault))
		} else {
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(disk.readDir("data")).To(Equal(before))
	}
}

// Guards against a failed snapshot whose incomplete file takes the space that the log needs,
// until the next start.
func TestFailedSnapshotLeavesNoFile(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	before, err := disk.readDir("data")
	g.Expect(err).NotTo(HaveOccurred())
	for _, fault := range []error{errDiskFull, errSyncFailed} {
		disk.full, disk.failSync = fault == errDiskFull, fault == errSyncFailed
		g.Expect(d.PrepareSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 2, Term: 1}})).To(MatchError(fault))
		g.Expect(disk.readDir("data")).To(Equal(before))
	}
}
