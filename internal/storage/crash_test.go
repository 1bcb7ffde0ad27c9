package storage

import (
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

// model is what the folder must hold.
type model struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
	prepared consensus.SnapshotMeta // not adopted yet; zero: none
}

func (m model) last() uint64 { return m.snapshot.Meta.Index + uint64(len(m.entries)) }

func (m model) String() string {
	return fmt.Sprintf("%+v %d %q %+v", m.hard, m.snapshot.Meta.Index, m.snapshot.Data, m.entries)
}

// change is one call of a Disk with its effect on the model.
type change struct {
	call  func(d *Disk) error
	after model
}

// draw picks a next call: an append that may replace a tail, a snapshot of the
// own log, or one that a leader sent in place of another history.
func (m model) draw(rt *rapid.T) change {
	next := model{hard: m.hard, snapshot: m.snapshot, prepared: m.prepared}
	kind := rapid.SampledFrom([]string{"append", "append", "compact", "prepare", "adopt", "install"}).Draw(rt, "call")
	switch kind {
	case "adopt":
		if m.prepared.Index == 0 {
			break
		}
		next.entries, next.prepared = m.entries, consensus.SnapshotMeta{}
		tail := m.entries // nothing is adopted when the prepared snapshot is not the newest
		return change{func(d *Disk) error { return d.ActivateSnapshot(m.prepared, len("own"), tail) }, next}
	case "compact", "prepare":
		if m.hard.Commit == m.snapshot.Meta.Index || m.prepared.Index > 0 {
			break
		}
		k := m.hard.Commit - m.snapshot.Meta.Index
		next.snapshot = consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: m.hard.Commit, Term: m.entries[k-1].Term}, Data: []byte("own")}
		next.entries = m.entries[k:]
		if kind == "prepare" {
			next.prepared = next.snapshot.Meta
			return change{func(d *Disk) error { return d.PrepareSnapshot(next.snapshot) }, next}
		}
		return change{func(d *Disk) error { return d.SaveSnapshot(next.snapshot, next.entries) }, next}
	case "install":
		index := m.hard.Commit + rapid.Uint64Range(1, 4).Draw(rt, "ahead")
		next.hard = consensus.HardState{Term: m.hard.Term + 1, Commit: index}
		next.snapshot = consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: index, Term: next.hard.Term}, Data: []byte("leader's")}
		return change{func(d *Disk) error {
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
		es = append(es, consensus.Entry{Index: from + i, Term: next.hard.Term, Data: []byte{rapid.Byte().Draw(rt, "data")}})
	}
	next.entries = append(append(next.entries, m.entries[:from-1-m.snapshot.Meta.Index]...), es...)
	next.hard.Commit = rapid.Uint64Range(m.hard.Commit, next.last()).Draw(rt, "commit")
	return change{func(d *Disk) error { return d.Append(&next.hard, es) }, next}
}

// folder creates a data folder and takes some calls.
func folder(rt *rapid.T, g *WithT, root string) (string, *Disk, model) {
	dir, err := os.MkdirTemp(root, "")
	g.Expect(err).NotTo(HaveOccurred())
	dir = filepath.Join(dir, "data")
	m := model{hard: consensus.HardState{Term: 1, Commit: 1}, snapshot: consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}, Data: []byte("first")}}
	g.Expect(Create(dir, Identity{Cluster: "c", ID: "a"}, m.snapshot)).To(Succeed())
	d, _, err := Open(dir)
	g.Expect(err).NotTo(HaveOccurred())
	for range rapid.IntRange(0, 5).Draw(rt, "calls") {
		c := m.draw(rt)
		g.Expect(c.call(d)).To(Succeed())
		m = c.after
	}
	return dir, d, m
}

func read(g *WithT, dir string) map[string][]byte {
	names, err := os.ReadDir(dir)
	g.Expect(err).NotTo(HaveOccurred())
	out := map[string][]byte{}
	for _, n := range names {
		out[n.Name()], err = os.ReadFile(filepath.Join(dir, n.Name()))
		g.Expect(err).NotTo(HaveOccurred())
	}
	return out
}

func write(g *WithT, dir string, files map[string][]byte) {
	g.Expect(os.RemoveAll(dir)).To(Succeed())
	g.Expect(os.Mkdir(dir, 0o700)).To(Succeed())
	for name, b := range files {
		g.Expect(os.WriteFile(filepath.Join(dir, name), b, 0o600)).To(Succeed())
	}
}

func load(dir string) (model, error) {
	d, l, err := Open(dir)
	if err != nil {
		return model{}, err
	}
	return model{hard: l.Hard, snapshot: l.Snapshot, entries: l.Entries}, d.Close()
}

// recordEnd returns the end of the log record that holds byte at.
func recordEnd(b []byte, at int) int {
	end := 0
	for end < at {
		_, size, _ := decode(b[end:])
		end += size
	}
	return end
}

// crashStates lists folders that a crash during a call may leave: the old files
// with the new ones written in part, up to the removal of the old ones.
func crashStates(before, after map[string][]byte, rnd *rand.Rand) []map[string][]byte {
	part := func(b, synced []byte) []byte {
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
				state[name+".tmp"] = part(b, nil)
				add()
				delete(state, name+".tmp")
			} else {
				torn := part(b, before[name])
				state[name] = torn
				add()
				// The size grew, but the last blocks did not arrive.
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

// What a call had stored survives a crash at any point of a later call; the
// crashed call has happened or not.
func TestSyncedStateSurvivesACrashAnywhere(t *testing.T) {
	testkit.FixSeed()
	root := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, d, m := folder(rt, g, root)
		before := read(g, dir)
		c := m.draw(rt)
		g.Expect(c.call(d)).To(Succeed())
		after := read(g, dir)
		g.Expect(d.Close()).To(Succeed())
		between := model{hard: m.hard, snapshot: c.after.snapshot, entries: c.after.entries} // an install between its two calls
		between.hard.Commit = max(between.hard.Commit, between.snapshot.Meta.Index)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "cuts"), 1))
		for range 5 {
			for _, files := range crashStates(before, after, rnd) {
				write(g, dir, files)
				for range 2 { // opening repairs; opening again finds the same
					got, err := load(dir)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(got.String()).To(BeElementOf(m.String(), c.after.String(), between.String()))
				}
			}
		}
	})
}

// One flipped bit in whatever was stored is refused with the file's name, and
// nothing is cut off.
func TestDamageIsRefusedByName(t *testing.T) {
	testkit.FixSeed()
	root := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		dir, d, m := folder(rt, g, root)
		g.Expect(d.Close()).To(Succeed())
		files := read(g, dir)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "bits"), 1))
		newest := filepath.Base(snapshotPath(dir, m.snapshot.Meta.Index))
		for _, name := range slices.Sorted(maps.Keys(files)) {
			if strings.HasPrefix(name, "snapshot-") && name != newest {
				continue // replaced by a prepared one that holds the same and more
			}
			b := files[name]
			for range 20 {
				if len(b) == 0 {
					continue
				}
				bad := append([]byte(nil), b...)
				bad[rnd.IntN(len(b))] ^= 1 << rnd.IntN(8)
				g.Expect(os.WriteFile(filepath.Join(dir, name), bad, 0o600)).To(Succeed())
				_, err := load(dir)
				g.Expect(result.CodeOf(err)).To(Equal(result.DataCorrupt), "%v", err)
				g.Expect(err).To(MatchError(ContainSubstring(name)))
				g.Expect(os.ReadFile(filepath.Join(dir, name))).To(Equal(bad))
			}
			g.Expect(os.WriteFile(filepath.Join(dir, name), b, 0o600)).To(Succeed())
		}
	})
}

// After a failed write nothing else is taken, even if writing would work again.
func TestFailureIsFinal(t *testing.T) {
	testkit.FixSeed()
	g := NewWithT(t)
	rapid.Check(t, func(rt *rapid.T) {
		dir, d, m := folder(rt, g, t.TempDir())
		broken := d.log
		g.Expect(broken.Close()).To(Succeed())
		err := d.Append(&m.hard, nil)
		g.Expect(errors.Is(err, os.ErrClosed)).To(BeTrue())
		d.log, err = os.OpenFile(filepath.Join(dir, filepath.Base(broken.Name())), os.O_WRONLY|os.O_APPEND, 0o600)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Append(&m.hard, nil)).To(MatchError(os.ErrClosed))
		g.Expect(d.SaveSnapshot(m.snapshot, nil)).To(MatchError(os.ErrClosed))
		g.Expect(d.log.Close()).To(Succeed())
	})
}
