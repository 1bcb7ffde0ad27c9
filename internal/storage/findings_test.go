package storage

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotstream/apricotstream/internal/consensus"
)

// Guards against an opening of a data folder that truncates or removes something, or passes over
// what isn't the replica's, without a word.
func TestOpenTellsWhatItFoundAndChanged(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	g.Expect(Create(dir, Identity{Cluster: "c", ID: "a"}, firstState().snapshot)).To(Succeed())
	d, _, err := Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(2)})).To(Succeed())
	stored, err := os.ReadFile(d.logPath())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.Append(nil, []consensus.Entry{dataEntry(3)})).To(Succeed())
	g.Expect(d.Close()).To(Succeed())
	g.Expect(os.Truncate(d.logPath(), int64(len(stored)+7))).To(Succeed())
	for _, name := range []string{"lost+found", "notes.txt", identityFile + temporarySuffix} {
		g.Expect(os.WriteFile(filepath.Join(dir, name), nil, 0o600)).To(Succeed())
	}
	_, l, err := Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Findings).To(Equal(Findings{
		Foreign: NameList{Names: []string{"lost+found", "notes.txt"}, Count: 2},
		Removed: NameList{Names: []string{identityFile + temporarySuffix}, Count: 1},
		Torn:    TornRecord{File: d.logPath(), Offset: len(stored), Bytes: 7},
	}))
}
