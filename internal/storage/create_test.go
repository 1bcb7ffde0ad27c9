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

// A folder that a replica has opened has a log. Create must leave it alone even if its
// identity is missing, and also a folder with files of another kind.
func TestCreateKeepsFilesOfOthers(t *testing.T) {
	g := NewWithT(t)
	first := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}, Data: []byte("first")}
	used := filepath.Join(t.TempDir(), "used")
	g.Expect(Create(used, Identity{Cluster: "c", ID: "a"}, first)).To(Succeed())
	_, err := openState(used)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.Remove(filepath.Join(used, identityFile))).To(Succeed())
	foreign := filepath.Join(t.TempDir(), "foreign")
	writeFiles(g, foreign, map[string][]byte{"notes.txt": []byte("x"), identityFile + temporarySuffix: nil})
	for _, dir := range []string{used, foreign} {
		before := readFiles(g, dir)
		err := Create(dir, Identity{Cluster: "c", ID: "b"}, first)
		g.Expect(result.CodeOf(err)).To(Equal(result.AlreadyExists))
		g.Expect(readFiles(g, dir)).To(Equal(before))
	}
}
