package storage

import (
	"cmp"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

var (
	errKilled     = errors.New("the process was killed")
	errDiskFull   = errors.New("no space left on the simulated disk")
	errSyncFailed = errors.New("the simulated disk failed to sync")
)

// simulatedDisk is a fileSystem in memory. It can kill the process at any call that changes
// something, and lose power. After a loss of power a file has the content of its last
// sync; each later write or truncation is present, missing or torn. A created file is
// durable after its own sync; each other change of a name may be kept or lost until its
// folder is synced.
type simulatedDisk struct {
	rnd     *rand.Rand
	names   map[string]*simulatedFile // as processes see them
	durable map[string]*simulatedFile // names that a loss of power keeps
	pending []nameChange              // since the last sync of the folder

	callsToKill int    // the call after this number of calls kills the process; negative: none
	killingCall diskOp // the next call of this kind kills the process
	killed      bool   // until restart
	run         int    // counts restarts; files of an earlier run are closed
	full        bool   // writes store a part and fail
	failSync    bool   // syncs of files store nothing and fail
}

// diskOp is a kind of call that changes something.
type diskOp string

const (
	opName     diskOp = "name" // creates, renames or removes a name
	opWrite    diskOp = "write"
	opTruncate diskOp = "truncate"
	opSync     diskOp = "sync"
	opSyncDir  diskOp = "syncDir"
)

// nameChange is a created (from is empty), renamed or removed (to is empty) name.
type nameChange struct {
	from, to string
	file     *simulatedFile // of a created name
}

func (c nameChange) apply(names map[string]*simulatedFile) {
	moved := c.file
	if c.from != "" {
		moved = names[c.from]
		delete(names, c.from)
	}
	if c.to != "" && moved != nil {
		names[c.to] = moved
	}
}

func newSimulatedDisk(seed uint64) *simulatedDisk {
	return &simulatedDisk{rnd: rand.New(rand.NewPCG(seed, 1)), names: map[string]*simulatedFile{}, durable: map[string]*simulatedFile{}, callsToKill: -1}
}

// killAfter makes the call after n calls that change something kill the process.
func (d *simulatedDisk) killAfter(n int) { d.callsToKill = n }

// killAt makes the next call of a kind kill the process.
func (d *simulatedDisk) killAt(o diskOp) { d.killingCall = o }

// restart ends the running process. Its files stay as they are.
func (d *simulatedDisk) restart() {
	d.run++
	d.killed, d.callsToKill, d.killingCall = false, -1, ""
}

// writeFate tells what a loss of power does to a write or a truncation that was not synced.
type writeFate int

const (
	fatePresent writeFate = iota
	fateMissing
	fateTorn
)

func (d *simulatedDisk) randomFate(simulatedWrite) writeFate { return writeFate(d.rnd.IntN(3)) }

func allMissing(simulatedWrite) writeFate { return fateMissing }

func noName(nameChange) bool { return false }

// losePower ends the running process. keep decides which unsynced changes of names are
// kept, and fate decides on each unsynced write.
func (d *simulatedDisk) losePower(keep func(nameChange) bool, fate func(simulatedWrite) writeFate) {
	d.restart()
	for _, c := range d.pending {
		if keep(c) {
			c.apply(d.durable)
		}
	}
	d.pending = nil
	maps.DeleteFunc(d.durable, func(path string, _ *simulatedFile) bool {
		dir := filepath.Dir(path)
		return dir != "." && d.durable[dir] == nil // the folder is lost
	})
	d.names = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		f := d.names[name]
		b := slices.Clone(f.durable)
		for _, w := range f.unsynced {
			switch fate(w) {
			case fatePresent:
				b = w.apply(b)
			case fateTorn:
				b = w.tear(b, d.rnd)
			case fateMissing:
			}
		}
		f.content, f.durable, f.unsynced = b, slices.Clone(b), nil
	}
}

// loseRandomly loses power; now and then everything that was not synced is gone.
func (d *simulatedDisk) loseRandomly() {
	if d.rnd.IntN(4) == 0 {
		d.losePower(noName, allMissing)
		return
	}
	d.losePower(func(nameChange) bool { return d.rnd.IntN(2) == 0 }, d.randomFate)
}

// step counts a call that changes something. It returns errKilled if the call kills the
// process, or if the process was killed before.
func (d *simulatedDisk) step(o diskOp) error {
	if d.callsToKill == 0 || d.killingCall == o {
		d.killed = true
	}
	if d.killed {
		return errKilled
	}
	d.callsToKill--
	return nil
}

func (d *simulatedDisk) change(c nameChange) error {
	if err := d.step(opName); err != nil {
		return err
	}
	c.apply(d.names)
	d.pending = append(d.pending, c)
	return nil
}

// mkdirAll creates the name of dir, but not of its parents.
func (d *simulatedDisk) mkdirAll(dir string) error {
	if d.names[dir] != nil {
		return nil
	}
	return d.change(nameChange{to: dir, file: &simulatedFile{}})
}

func (d *simulatedDisk) readDir(dir string) ([]string, error) {
	if dir != "." && d.names[dir] == nil {
		return nil, fs.ErrNotExist
	}
	var names []string
	for _, path := range slices.Sorted(maps.Keys(d.names)) {
		if filepath.Dir(path) == dir {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

func (d *simulatedDisk) readFile(path string) ([]byte, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.content), nil
}

func (d *simulatedDisk) open(string) (io.ReadCloser, error) { return nil, errors.ErrUnsupported }

func (d *simulatedDisk) create(path string) (file, error) {
	f, err := d.openAppend(path)
	if err != nil {
		return nil, err
	}
	return &simulatedHandle{disk: d, file: f.(*simulatedHandle).file, run: d.run}, f.Truncate(0)
}

func (d *simulatedDisk) openWrite(path string) (file, error) {
	if d.names[path] == nil {
		return nil, fs.ErrNotExist
	}
	return &simulatedHandle{disk: d, file: d.names[path], run: d.run}, nil
}

func (d *simulatedDisk) openAppend(path string) (file, error) {
	if d.names[path] == nil {
		if err := d.change(nameChange{to: path, file: &simulatedFile{}}); err != nil {
			return nil, err
		}
	}
	return &simulatedHandle{disk: d, file: d.names[path], run: d.run, atEnd: true}, nil
}

func (d *simulatedDisk) rename(from, to string) error {
	return d.change(nameChange{from: from, to: to})
}

func (d *simulatedDisk) remove(path string) error { return d.change(nameChange{from: path}) }

func (d *simulatedDisk) syncDir(dir string) error {
	if err := d.step(opSyncDir); err != nil {
		return err
	}
	d.makeDurable(func(c nameChange) bool { return filepath.Dir(cmp.Or(c.to, c.from)) == dir })
	return nil
}

// syncCreated makes the name of a created file durable, and the earlier changes of that name.
func (d *simulatedDisk) syncCreated(f *simulatedFile) {
	k := slices.IndexFunc(d.pending, func(c nameChange) bool { return c.file == f })
	if k < 0 {
		return
	}
	created, later := d.pending[k].to, slices.Clone(d.pending[k+1:])
	d.pending = d.pending[:k+1]
	d.makeDurable(func(c nameChange) bool { return c.to == created || c.from == created })
	d.pending = append(d.pending, later...)
}

// makeDurable makes some of the pending changes of names durable.
func (d *simulatedDisk) makeDurable(synced func(nameChange) bool) {
	d.pending = slices.DeleteFunc(d.pending, func(c nameChange) bool {
		if !synced(c) {
			return false
		}
		c.apply(d.durable)
		return true
	})
}
