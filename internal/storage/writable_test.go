package storage

import (
	"testing"

	. "github.com/onsi/gomega"
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
