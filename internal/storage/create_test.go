package storage

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// A replica that is killed while it creates its data folder must be able to create it at
// its next start. The rest of the interrupted attempt made every later start fail with
// "data folder is not empty".
func TestCreateAfterInterruptedCreate(t *testing.T) {
	g := NewWithT(t)
	first := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}, Data: []byte("first")}
	later := consensus.Snapshot{Meta: consensus.SnapshotMeta{}, Data: []byte("other attempt")}
	complete := filepath.Join(t.TempDir(), "complete")
	g.Expect(Create(complete, Identity{Cluster: "c", ID: "a"}, first)).To(Succeed())
	files := readFiles(g, complete)
	snapshot := filepath.Base(snapshotPath(complete, 1))
	for _, rest := range []map[string][]byte{
		{snapshot + temporarySuffix: files[snapshot][:3]},
		{snapshot: files[snapshot]},
		{snapshot: files[snapshot], identityFile + temporarySuffix: files[identityFile][:3]},
		{snapshot: files[snapshot], identityFile + temporarySuffix: files[identityFile]},
	} {
		dir := filepath.Join(t.TempDir(), "data")
		writeFiles(g, dir, rest)
		_, err := openState(dir)
		g.Expect(result.CodeOf(err)).To(Equal(result.DataMissing))
		g.Expect(Create(dir, Identity{Cluster: "c", ID: "b"}, later)).To(Succeed())
		got, err := openState(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.snapshot).To(Equal(later), "the snapshot of the interrupted attempt must not be loaded")
	}
}

// Guards against a founder that forms a group although its folder has the log of a replica, against
// one that replaces a replica, and against a replica that takes a folder of others for its lost disk, such
// as a mount point whose disk is not mounted. A new file system has lost+found.
func TestCreateKeepsFilesOfOthers(t *testing.T) {
	g := NewWithT(t)
	first := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}, Data: []byte("first")}
	complete := filepath.Join(t.TempDir(), "complete")
	g.Expect(Create(complete, Identity{Cluster: "c", ID: "a"}, first)).To(Succeed())
	used := filepath.Join(t.TempDir(), "used")
	g.Expect(Create(used, Identity{Cluster: "c", ID: "a"}, first)).To(Succeed())
	_, err := openState(used)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Remove(filepath.Join(used, identityFile))).To(Succeed())
	refused := []error{
		unchanged(g, used, func() error { return Create(used, Identity{Cluster: "c", ID: "b"}, first) }),
		unchanged(g, complete, func() error { return Create(complete, Identity{Cluster: "c", ID: "b"}, first) }),
		unchanged(g, complete, func() error { return CreateAnew(complete, Identity{Cluster: "c", ID: "b"}, first) }),
	}
	for _, create := range []func(string, Identity, consensus.Snapshot) error{Create, CreateAnew} {
		for _, name := range []string{"notes.txt", "notes.tmp", "snapshot-notes.json", "log-1.wal"} {
			dir := filepath.Join(t.TempDir(), "foreign")
			writeFiles(g, dir, map[string][]byte{name: []byte("x"), identityFile + temporarySuffix: nil})
			g.Expect(CheckVacant(dir)).NotTo(Succeed())
			refused = append(refused, unchanged(g, dir, func() error { return create(dir, Identity{Cluster: "c", ID: "b"}, first) }))
		}
		dir := filepath.Join(t.TempDir(), "data")
		g.Expect(os.MkdirAll(filepath.Join(dir, lostAndFound), 0o700)).To(Succeed())
		g.Expect(CheckVacant(dir)).To(Succeed())
		g.Expect(create(dir, Identity{Cluster: "c", ID: "b"}, first)).To(Succeed())
		got, err := openState(dir)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.snapshot).To(Equal(first))
		g.Expect(filepath.Join(dir, lostAndFound)).To(BeADirectory())
	}
	for _, err := range refused {
		g.Expect(result.CodeOf(err)).To(Equal(result.AlreadyExists))
	}
}

// unchanged returns the error of f, which must leave dir as it is.
func unchanged(g *WithT, dir string, f func() error) error {
	before := readFiles(g, dir)
	err := f()
	g.Expect(readFiles(g, dir)).To(Equal(before))
	return err
}

// A replica that joins again replaces the files that a process left after the identity was removed.
// Guards against old entries in the log of the new replica, whenever the creation is interrupted.
func TestCreateAnewReplacesFilesWithoutIdentity(t *testing.T) {
	g := NewWithT(t)
	learner := consensus.Snapshot{Data: []byte("learner")}
	for n := range maxCallsToKill {
		for seed := range uint64(20) {
			disk := newSimulatedDisk(seed)
			g.Expect(create(disk, "data", Identity{Cluster: "c", ID: "a"}, firstState().snapshot)).To(Succeed())
			d, _, err := open(disk, "data")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(Succeed())
			g.Expect(disk.remove(filepath.Join("data", identityFile))).To(Succeed())
			g.Expect(disk.syncDir("data")).To(Succeed())
			disk.killAfter(n)
			if err := createAnew(disk, "data", Identity{Cluster: "c", ID: "b"}, learner); err != nil {
				g.Expect(err).To(MatchError(errKilled))
			}
			disk.loseRandomly()
			_, l, err := open(disk, "data")
			if err != nil {
				g.Expect(result.CodeOf(err)).To(Equal(result.DataMissing), "%v", err)
				g.Expect(createAnew(disk, "data", Identity{Cluster: "c", ID: "b"}, learner)).To(Succeed())
				disk.losePower(noName, allMissing)
				_, l, err = open(disk, "data")
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(l.Snapshot).To(Equal(learner))
			g.Expect(l.Entries).To(BeEmpty())
			g.Expect(l.Identity.ID).To(Equal(consensus.ID("b")))
		}
	}
}
