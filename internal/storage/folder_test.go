package storage

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// A second process that opens the folder of a running one must change nothing in it. It activated a
// snapshot that the running one was still preparing, and removed the log to which that one went on
// appending. Guards against the loss of acknowledged entries.
func TestFolderOfRunningProcessIsNotOpened(t *testing.T) {
	g := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "data")
	first := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}}
	g.Expect(Create(dir, Identity{Cluster: "c", ID: "a"}, first)).To(Succeed())
	running, _, err := Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(running.Append(&consensus.HardState{Term: 1, Commit: 2}, []consensus.Entry{dataEntry(2)})).To(Succeed())
	g.Expect(running.PrepareSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 2, Term: 1}})).To(Succeed())
	before := readFiles(g, dir)
	_, err = openState(dir)
	g.Expect(result.CodeOf(err)).To(Equal(result.FolderInUse))
	g.Expect(result.CodeOf(Create(dir, Identity{Cluster: "c", ID: "b"}, first))).To(Equal(result.FolderInUse))
	g.Expect(readFiles(g, dir)).To(Equal(before))

	g.Expect(running.Append(&consensus.HardState{Term: 1, Commit: 3}, []consensus.Entry{dataEntry(3)})).To(Succeed())
	g.Expect(running.Close()).To(Succeed())
	got, err := openState(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.last()).To(Equal(uint64(3)))
}

// Guards against an owner that loses its folder with the content, and against a folder that stays in
// use after its owner has ended.
func TestFolderIsOwnedUntilRelease(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	owner, err := Acquire(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(owner.Create(Identity{Cluster: "c", ID: "a"}, firstState().snapshot)).To(Succeed())
	for range 2 { // a folder that failed is opened again by the same process
		d, _, err := owner.Open()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Close()).To(Succeed())
	}
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		g.Expect(os.Remove(name)).To(Succeed())
	}
	_, err = Acquire(dir)
	g.Expect(result.CodeOf(err)).To(Equal(result.FolderInUse))
	g.Expect(CheckVacant(dir)).To(Succeed(), "the lock must not be a file")
	g.Expect(owner.Release()).To(Succeed())
	next, err := Acquire(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.Release()).To(Succeed())
	_, err = Acquire(filepath.Join(dir, "no such folder"))
	g.Expect(result.CodeOf(err)).To(Equal(result.DataMissing))
}

// Guards against a replica that does not start on a file system without locks, or that takes an
// interrupted request for a refusal.
func TestFileSystemWithoutLocks(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	for _, refusal := range []error{unix.ENOLCK, unix.ENOSYS, unix.EOPNOTSUPP, unix.EBADF} {
		requests := 0
		f, err := acquire(dir, func(int, int) error {
			if requests++; requests == 1 {
				return unix.EINTR
			}
			return refusal
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.Unlocked()).To(MatchError(refusal))
		g.Expect(f.Release()).To(Succeed())
	}
}

// Guards against a replica that acknowledges entries in files without a name, after its disk was
// emptied under the running process: they are gone with the process.
func TestRemovedLogTakesNoEntries(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	g.Expect(Create(dir, Identity{Cluster: "c", ID: "a"}, firstState().snapshot)).To(Succeed())
	d, _, err := Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	defer d.Close()
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(Succeed())
	g.Expect(os.RemoveAll(dir)).To(Succeed())
	for range 2 {
		g.Expect(result.CodeOf(d.Append(nil, []consensus.Entry{dataEntry(3)}))).To(Equal(result.DataMissing))
	}
}
