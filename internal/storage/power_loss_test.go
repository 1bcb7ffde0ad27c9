package storage

import (
	"fmt"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

func firstState() folderState {
	return folderState{hard: consensus.HardState{Term: 1, Commit: 1}, snapshot: consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}, Data: []byte("first")}}
}

// dataEntry returns an entry with a body of several blocks.
func dataEntry(index uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: 1, Data: []byte(fmt.Sprintf("%2000d", index))}
}

// newSimulatedFolder creates and opens a data folder.
func newSimulatedFolder(g *WithT) (*simulatedDisk, *Disk) {
	disk := newSimulatedDisk(1)
	g.Expect(create(disk, "data", Identity{Cluster: "c", ID: "a"}, firstState().snapshot)).To(Succeed())
	d, _, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	return disk, d
}

// A record that Open returns must be durable then: the replica acknowledges it. The record
// of a killed process may not have been synced. Guards against its loss by a loss of power.
func TestReadBackRecordIsDurable(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	disk.killAt(opSync)
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(MatchError(errKilled))
	disk.restart()
	_, l, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Entries).To(HaveLen(1))
	disk.losePower(noName, allMissing)
	_, l, err = open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Entries).To(HaveLen(1))
}

// After a failed sync a process reads back what the disk does not hold, and the next sync
// does not store it. Guards against a replica that acknowledges such a record.
func TestRecordReadBackAfterFailedSyncIsDurable(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(Succeed())
	disk.failSync = true
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(3)})).To(MatchError(errSyncFailed))
	disk.failSync = false
	_, read, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	disk.losePower(noName, allMissing)
	_, l, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Entries).To(Equal(read.Entries))
}

// A loss of power may keep a record and lose an earlier truncation that was not synced.
// The rest of the torn record then follows the record. Guards against taking it for damage.
func TestTruncationOfTornRecordIsDurable(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(Succeed())
	disk.killAt(opWrite)
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(3), dataEntry(4)})).To(MatchError(errKilled))
	disk.losePower(noName, func(simulatedWrite) writeFate { return fatePresent }) // of the torn record
	d, _, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	disk.killAt(opSync)
	g.Expect(d.Append(nil, []consensus.Entry{{Index: 3, Term: 1}})).To(MatchError(errKilled))
	disk.losePower(noName, func(w simulatedWrite) writeFate {
		if w.truncate {
			return fateMissing
		}
		return fatePresent
	})
	_, l, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Entries).To(HaveLen(2))
}

// A loss of power may bring back an old log that was removed. Guards against an old log
// whose last record was not synced before the new log took its place.
func TestReturnedLogEndsWithSyncedRecord(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	g.Expect(d.Append(&consensus.HardState{Term: 1, Commit: 2}, []consensus.Entry{dataEntry(2)})).To(Succeed())
	g.Expect(d.PrepareSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 2, Term: 1}})).To(Succeed())
	disk.killAt(opSync)
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(3)})).To(MatchError(errKilled))
	disk.restart()
	_, l, err := open(disk, "data") // activates the snapshot and removes the old log
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Entries).To(HaveLen(1))
	disk.losePower(noName, func(w simulatedWrite) writeFate { return fateTorn })
	_, l, err = open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Entries).To(HaveLen(1))
}

// Open may create a log for a snapshot whose name a killed process had not synced. Guards
// against a loss of power that keeps the name of the log and loses that of the snapshot.
func TestSnapshotNameIsDurableBeforeItsLog(t *testing.T) {
	g := NewWithT(t)
	for n := range maxCallsToKill {
		disk, d := newSimulatedFolder(g)
		g.Expect(d.Append(&consensus.HardState{Term: 1, Commit: 2}, []consensus.Entry{dataEntry(2)})).To(Succeed())
		disk.killAt(opSyncDir)
		g.Expect(d.PrepareSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 2, Term: 1}})).To(MatchError(errKilled))
		g.Expect(disk.names).To(HaveKey(snapshotPath("data", 2)))
		disk.restart()
		disk.killAfter(n)
		_, _, _ = open(disk, "data")
		disk.losePower(func(c nameChange) bool { return c.from == "" }, allMissing) // keeps only created names
		_, l, err := open(disk, "data")
		g.Expect(err).NotTo(HaveOccurred(), "killed after %d calls", n)
		g.Expect(l.Hard.Commit).To(Equal(uint64(2)))
	}
}

// createWithIndex creates a folder whose identity tells the index of its snapshot.
func createWithIndex(disk *simulatedDisk, index uint64) error {
	s := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: index, Term: 1}}
	return create(disk, "data", Identity{Cluster: "c", ID: consensus.ID(fmt.Sprint(index))}, s)
}

// Create may be interrupted any number of times. Guards against a folder that Open calls
// missing and Create calls not empty, so that the daemon can never start again.
func TestInterruptedCreateCanBeRepeated(t *testing.T) {
	g := NewWithT(t)
	interruptions := map[string]func(*simulatedDisk){"kill": (*simulatedDisk).restart, "power loss": (*simulatedDisk).loseRandomly}
	for name, interrupt := range interruptions {
		for n := range maxCallsToKill {
			for seed := range uint64(20) {
				disk := newSimulatedDisk(seed)
				for k := n; k >= 0; k-- {
					disk.killAfter(k)
					if err := createWithIndex(disk, uint64(k%2)); err != nil {
						g.Expect(err).To(Or(MatchError(errKilled), MatchError(ContainSubstring("not empty"))))
					}
					interrupt(disk)
				}
				_, _, err := open(disk, "data")
				if err != nil {
					g.Expect(result.CodeOf(err)).To(Equal(result.DataMissing), "%v", err)
					g.Expect(createWithIndex(disk, 0)).To(Succeed(), "%s after %d calls", name, n)
				}
				disk.losePower(noName, allMissing)
				_, l, err := open(disk, "data")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(l.Identity.ID)).To(Equal(fmt.Sprint(l.Snapshot.Meta.Index)))
			}
		}
	}
}

// A folder with a log and without an identity is a damaged replica, not an interrupted
// Create. Guards against replacing it.
func TestCreateRefusesFolderWithLog(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(Succeed())
	g.Expect(disk.remove(filepath.Join("data", identityFile))).To(Succeed())
	err := create(disk, "data", Identity{Cluster: "c", ID: "a"}, firstState().snapshot)
	g.Expect(result.CodeOf(err)).To(Equal(result.AlreadyExists), "%v", err)
}

// A snapshot that doesn't fit on the disk leaves a temporary file. Guards against a disk
// that stays full for good.
func TestOpenRemovesIncompleteSnapshot(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	disk.full = true
	large := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 2, Term: 1}, Data: make([]byte, 1<<20)}
	g.Expect(d.PrepareSnapshot(large)).To(MatchError(errDiskFull))
	disk.restart()
	_, _, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(disk.names).NotTo(HaveKey(snapshotPath("data", 2) + temporarySuffix))
}

// The folder itself is a name in its parent. Guards against a loss of power that takes a
// replica's whole folder, after which a founder would start again under the same identity.
func TestCreatedFolderIsDurable(t *testing.T) {
	g := NewWithT(t)
	disk, d := newSimulatedFolder(g)
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(Succeed())
	disk.losePower(noName, allMissing)
	_, l, err := open(disk, "data")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Entries).To(HaveLen(1))
}
