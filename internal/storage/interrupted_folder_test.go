package storage

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"pgregory.net/rapid"

	"github.com/apricotstream/apricotstream/internal/testkit"
)

// maxCallsToKill is more than the number of changes that any call makes on a disk.
const maxCallsToKill = 20

// interruptedFolder is a data folder on a simulated disk.
type interruptedFolder struct {
	disk *simulatedDisk
	open *Disk
	// possible holds the states that the next Open may find. It has one state as long as
	// no call was interrupted since the last Open.
	possible []folderState
}

// interrupt ends the process, by a loss of power or not.
func (f *interruptedFolder) interrupt(rt *rapid.T) {
	f.open, f.disk.full, f.disk.failSync = nil, false, false
	if rapid.Bool().Draw(rt, "power loss") {
		f.disk.loseRandomly()
		return
	}
	f.disk.restart()
}

// fault is what an interrupted call returns.
func fault() types.GomegaMatcher {
	return Or(MatchError(errKilled), MatchError(errDiskFull), MatchError(errSyncFailed))
}

// drawFault kills the process during the next call, fills the disk or lets its syncs fail,
// at random.
func (f *interruptedFolder) drawFault(rt *rapid.T) {
	f.disk.failSync = rapid.IntRange(0, 7).Draw(rt, "sync fails") == 0
	f.disk.full = rapid.IntRange(0, 7).Draw(rt, "full") == 0
	if rapid.IntRange(0, 3).Draw(rt, "kill") == 0 {
		f.disk.killAfter(rapid.IntRange(0, maxCallsToKill).Draw(rt, "calls to kill"))
	}
}

// reopen opens the folder, and checks that it is in a possible state.
func (f *interruptedFolder) reopen(rt *rapid.T, g *WithT) {
	f.drawFault(rt)
	d, l, err := open(f.disk, "data")
	if errors.Is(err, errKilled) || errors.Is(err, errDiskFull) || errors.Is(err, errSyncFailed) {
		f.interrupt(rt)
		return
	}
	g.Expect(err).NotTo(HaveOccurred())
	f.disk.killAfter(-1)
	got := folderState{hard: l.Hard, snapshot: l.Snapshot, entries: l.Entries}
	var expected []string
	for _, m := range f.possible {
		expected = append(expected, m.String())
	}
	g.Expect(expected).To(ContainElement(got.String()))
	f.open, f.possible = d, []folderState{got}
}

// call makes a random call, which may be interrupted.
func (f *interruptedFolder) call(rt *rapid.T, g *WithT) {
	m := f.possible[0]
	c := m.drawCall(rt)
	f.drawFault(rt)
	err := c.call(f.open)
	f.disk.killAfter(-1)
	if err == nil {
		f.possible = []folderState{c.after}
		return
	}
	g.Expect(err).To(fault())
	between := folderState{hard: m.hard, snapshot: c.after.snapshot, entries: c.after.entries} // between the two calls of install
	between.hard.Commit = max(between.hard.Commit, between.snapshot.Meta.Index)
	f.possible = []folderState{m, c.after, between}
	f.interrupt(rt)
}

// Any number of kills, full disks, failed syncs and losses of power, also while the folder is opened, must
// lose nothing that a call stored or that Open returned, and Open must not refuse the
// folder.
func TestFolderSurvivesKillsAndPowerLosses(t *testing.T) {
	testkit.FixSeed()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		f := &interruptedFolder{disk: newSimulatedDisk(rapid.Uint64().Draw(rt, "disk")), possible: []folderState{firstState()}}
		g.Expect(create(f.disk, "data", Identity{Cluster: "c", ID: "a"}, f.possible[0].snapshot)).To(Succeed())
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch {
			case f.open == nil:
				f.reopen(rt, g)
			case rapid.IntRange(0, 7).Draw(rt, "interrupt") == 0:
				f.interrupt(rt)
			default:
				f.call(rt, g)
			}
		}
	})
}
