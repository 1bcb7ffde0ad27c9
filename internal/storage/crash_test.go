package storage

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/testkit"
)

// folderState is the expected or the loaded state of a data folder.
type folderState struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
	prepared consensus.SnapshotMeta // prepared but not activated yet; zero: none
}

func (m folderState) last() uint64 { return m.snapshot.Meta.Index + uint64(len(m.entries)) }

func (m folderState) String() string {
	return fmt.Sprintf("%+v %d %q %+v", m.hard, m.snapshot.Meta.Index, m.snapshot.Data, m.entries)
}

// diskCall is one call of a Disk and the expected state after it.
type diskCall struct {
	call  func(d *Disk) error
	after folderState
}

// drawCall draws the next call: an append that may replace the last entries, a snapshot of
// the replica's own log, which may be prepared in one call and activated in a later one, or
// a snapshot from a leader that replaces a different log.
func (m folderState) drawCall(rt *rapid.T) diskCall {
	next := folderState{hard: m.hard, snapshot: m.snapshot, prepared: m.prepared}
	kind := rapid.SampledFrom([]string{"append", "append", "compact", "prepare", "adopt", "install"}).Draw(rt, "call")
	switch kind {
	case "adopt":
		if m.prepared.Index == 0 {
			break
		}
		next.entries, next.prepared = m.entries, consensus.SnapshotMeta{}
		tail := m.entries // ActivateSnapshot does nothing if the prepared snapshot isn't the newest
		return diskCall{func(d *Disk) error { return d.ActivateSnapshot(m.prepared, len("own"), tail) }, next}
	case "compact", "prepare":
		if m.hard.Commit == m.snapshot.Meta.Index || m.prepared.Index > 0 {
			break
		}
		k := m.hard.Commit - m.snapshot.Meta.Index
		next.snapshot = consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: m.hard.Commit, Term: m.entries[k-1].Term}, Data: []byte("own")}
		next.entries = m.entries[k:]
		if kind == "prepare" {
			next.prepared = next.snapshot.Meta
			return diskCall{func(d *Disk) error { return d.PrepareSnapshot(next.snapshot) }, next}
		}
		return diskCall{func(d *Disk) error { return d.SaveSnapshot(next.snapshot, next.entries) }, next}
	case "install":
		index := m.hard.Commit + rapid.Uint64Range(1, 4).Draw(rt, "ahead")
		next.hard = consensus.HardState{Term: m.hard.Term + 1, Commit: index}
		next.snapshot = consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: index, Term: next.hard.Term}, Data: []byte("leader's")}
		return diskCall{func(d *Disk) error {
			if err := d.SaveSnapshot(next.snapshot, nil); err != nil {
				return err
			}
			return d.Append(&next.hard, nil)
		}, next}
	}
	from := rapid.Uint64Range(m.hard.Commit, m.last()).Draw(rt, "from") + 1
	next.hard.Term = m.hard.Term + rapid.Uint64Range(0, 1).Draw(rt, "terms")
	var es []consensus.Entry
	for i := range rapid.Uint64Range(1, 5).Draw(rt, "entries") {
		data := bytes.Repeat([]byte{rapid.Byte().Draw(rt, "data")}, rapid.SampledFrom([]int{1, 1, 1000}).Draw(rt, "bytes"))
		es = append(es, consensus.Entry{Index: from + i, Term: next.hard.Term, Data: data})
	}
	next.entries = append(append(next.entries, m.entries[:from-1-m.snapshot.Meta.Index]...), es...)
	next.hard.Commit = rapid.Uint64Range(m.hard.Commit, next.last()).Draw(rt, "commit")
	return diskCall{func(d *Disk) error { return d.Append(&next.hard, es) }, next}
}

// newDataFolder creates a data folder and makes some random calls.
func newDataFolder(rt *rapid.T, g *WithT, root string) (string, *Disk, folderState) {
	dir, err := os.MkdirTemp(root, "")
	g.Expect(err).NotTo(HaveOccurred())
	dir = filepath.Join(dir, "data")
	m := folderState{hard: consensus.HardState{Term: 1, Commit: 1}, snapshot: consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}, Data: []byte("first")}}
	g.Expect(Create(dir, Identity{Cluster: "c", ID: "a"}, m.snapshot)).To(Succeed())
	d, _, err := Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	for range rapid.IntRange(0, 5).Draw(rt, "calls") {
		c := m.drawCall(rt)
		g.Expect(c.call(d)).To(Succeed())
		m = c.after
	}
	return dir, d, m
}

// readFiles returns the content of every file in dir, by name.
func readFiles(g *WithT, dir string) map[string][]byte {
	names, err := os.ReadDir(dir)
	g.Expect(err).NotTo(HaveOccurred())
	out := map[string][]byte{}
	for _, n := range names {
		out[n.Name()], err = os.ReadFile(filepath.Join(dir, n.Name()))
		g.Expect(err).NotTo(HaveOccurred())
	}
	return out
}

// writeFiles replaces the content of dir by files.
func writeFiles(g *WithT, dir string, files map[string][]byte) {
	g.Expect(os.RemoveAll(dir)).To(Succeed())
	g.Expect(os.Mkdir(dir, 0o700)).To(Succeed())
	for name, b := range files {
		g.Expect(os.WriteFile(filepath.Join(dir, name), b, 0o600)).To(Succeed())
	}
}

// openState opens and closes the data folder and returns the state found.
func openState(dir string) (folderState, error) {
	d, l, err := Open(dir)
	if err != nil {
		return folderState{}, err
	}
	return folderState{hard: l.Hard, snapshot: l.Snapshot, entries: l.Entries}, d.Close()
}

// recordEnd returns the end of the first log record that ends at or after offset, or 0 if
// offset is 0.
func recordEnd(b []byte, offset int) int {
	end := 0
	for end < offset {
		_, size, _ := decodeRecord(b, end)
		end += size
	}
	return end
}

// crashStates returns the folder contents that a crash during a call may leave: the old
// files with the new ones partly written, up to the removal of the old ones.
func crashStates(before, after map[string][]byte, rnd *rand.Rand) []map[string][]byte {
	truncateAtRandom := func(b, synced []byte) []byte {
		cut := len(synced) + rnd.IntN(len(b)-len(synced)+1)
		return append([]byte(nil), b[:cut]...)
	}
	var out []map[string][]byte
	state := map[string][]byte{}
	for name, b := range before {
		state[name] = b
	}
	add := func() {
		c := map[string][]byte{}
		for name, b := range state {
			c[name] = b
		}
		out = append(out, c)
	}
	for _, prefix := range []string{"snapshot-", "log-"} {
		for name, b := range after {
			if !strings.HasPrefix(name, prefix) || string(before[name]) == string(b) {
				continue
			}
			if prefix == "snapshot-" {
				state[name+".tmp"] = truncateAtRandom(b, nil)
				add()
				delete(state, name+".tmp")
			} else {
				torn := truncateAtRandom(b, before[name])
				state[name] = torn
				add()
				// The size grew to the end of the record, but its last blocks were not
				// written.
				state[name] = append(torn, make([]byte, recordEnd(b, len(torn))-len(torn))...)
				add()
			}
			state[name] = b
			add()
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			delete(state, name)
			add()
		}
	}
	return out
}

// A crash at any point of a call must not lose what earlier calls stored. The crashed call
// takes effect completely or not at all.
func TestSyncedStateSurvivesCrash(t *testing.T) {
	testkit.FixSeed()
	root := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, d, m := newDataFolder(rt, g, root)
		before := readFiles(g, dir)
		c := m.drawCall(rt)
		g.Expect(c.call(d)).To(Succeed())
		after := readFiles(g, dir)
		g.Expect(d.Close()).To(Succeed())
		between := folderState{hard: m.hard, snapshot: c.after.snapshot, entries: c.after.entries} // crash between the two calls of install
		between.hard.Commit = max(between.hard.Commit, between.snapshot.Meta.Index)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "cuts"), 1))
		for range 5 {
			for _, files := range crashStates(before, after, rnd) {
				writeFiles(g, dir, files)
				for range 2 { // the first Open repairs the folder; the second must find the same state
					got, err := openState(dir)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(got.String()).To(BeElementOf(m.String(), c.after.String(), between.String()))
				}
			}
		}
	})
}

// Open must report a flipped bit in any stored file with DataCorrupt and the file's name,
// and must not change the file.
func TestDamagedFileIsReported(t *testing.T) {
	testkit.FixSeed()
	root := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, d, m := newDataFolder(rt, g, root)
		g.Expect(d.Close()).To(Succeed())
		files := readFiles(g, dir)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "bits"), 1))
		newest := filepath.Base(snapshotPath(dir, m.snapshot.Meta.Index))
		for _, name := range slices.Sorted(maps.Keys(files)) {
			if strings.HasPrefix(name, "snapshot-") && name != newest {
				continue // superseded by a prepared snapshot, which includes this one
			}
			b := files[name]
			for range 20 {
				if len(b) == 0 {
					continue
				}
				bad := append([]byte(nil), b...)
				bad[rnd.IntN(len(b))] ^= 1 << rnd.IntN(8)
				g.Expect(os.WriteFile(filepath.Join(dir, name), bad, 0o600)).To(Succeed())
				_, err := openState(dir)
				g.Expect(result.CodeOf(err)).To(Equal(result.DataCorrupt), "%v", err)
				g.Expect(err).To(MatchError(ContainSubstring(name)))
				g.Expect(os.ReadFile(filepath.Join(dir, name))).To(Equal(bad))
			}
			g.Expect(os.WriteFile(filepath.Join(dir, name), b, 0o600)).To(Succeed())
		}
	})
}

// After a failed write every later write must fail, even if the file could be written
// again.
func TestCallsFailAfterFailedWrite(t *testing.T) {
	testkit.FixSeed()
	g := NewWithT(t)
	rapid.Check(t, func(rt *rapid.T) {
		dir, d, m := newDataFolder(rt, g, t.TempDir())
		broken := d.log
		g.Expect(broken.Close()).To(Succeed())
		err := d.Append(&m.hard, nil)
		g.Expect(errors.Is(err, os.ErrClosed)).To(BeTrue())
		d.log, err = os.OpenFile(filepath.Join(dir, filepath.Base(d.logPath())), os.O_WRONLY|os.O_APPEND, 0o600)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Append(&m.hard, nil)).To(MatchError(os.ErrClosed))
		g.Expect(d.SaveSnapshot(m.snapshot, nil)).To(MatchError(os.ErrClosed))
		g.Expect(d.log.Close()).To(Succeed())
	})
}
