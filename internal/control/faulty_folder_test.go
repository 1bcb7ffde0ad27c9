package control

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// osFolders owns a folder while it is open.
var osFolders = folderAccess{
	open: func(dir string) (dataFolder, storage.LoadedState, error) {
		d, l, err := storage.Open(dir)
		if err != nil {
			return nil, l, err
		}
		return d, l, nil
	},
	checkWritable: storage.CheckWritable,
}

// createFounder is InitFounder for a folder that this process does not own afterwards.
func createFounder(dir, address string, founders []string) error {
	if err := storage.MakeFolder(dir); err != nil {
		return err
	}
	folder, err := storage.Acquire(dir)
	if err != nil {
		return err
	}
	_, err = InitFounder(folder, address, founders)
	return errors.Join(err, folder.Release())
}

// faultyFolder gives access to a data folder whose disk refuses writes or hangs.
type faultyFolder struct {
	full atomic.Bool
	// checks counts how often the replica has looked whether the disk takes writes again, and
	// opened how often the folder was opened.
	checks, opened atomic.Int32
	// noSnapshots lets only the writing of snapshots fail, as on a disk with little space.
	noSnapshots atomic.Bool
	frozen      sync.RWMutex                       // locked while writes hang
	change      func(*storage.LoadedState, *error) // of what opening the folder returns; may be nil
}

func (f *faultyFolder) access() folderAccess {
	return folderAccess{
		open: func(dir string) (dataFolder, storage.LoadedState, error) {
			d, l, err := osFolders.open(dir)
			if err == nil && f.full.Load() {
				d.Close()
				return nil, l, syscall.ENOSPC
			}
			f.opened.Add(1)
			if f.change != nil {
				f.change(&l, &err)
			}
			return &faultyDisk{dataFolder: d, folder: f}, l, err
		},
		checkWritable: func(dir string) error {
			f.checks.Add(1)
			if f.full.Load() {
				return syscall.ENOSPC
			}
			return storage.CheckWritable(dir)
		},
	}
}

// faultyDisk is an open faultyFolder. Only the loop uses failed.
type faultyDisk struct {
	dataFolder
	folder *faultyFolder
	failed error
}

func (d *faultyDisk) Append(hs *consensus.HardState, es []consensus.Entry) error {
	if hs == nil && len(es) == 0 {
		return d.failed
	}
	d.folder.frozen.RLock()
	defer d.folder.frozen.RUnlock()
	if d.folder.full.Load() {
		d.failed = syscall.ENOSPC
	}
	if d.failed != nil {
		return d.failed
	}
	return d.dataFolder.Append(hs, es)
}

func (d *faultyDisk) PrepareSnapshotFrom(meta consensus.SnapshotMeta, writeData func(io.Writer) error) (int, error) {
	if d.folder.noSnapshots.Load() {
		return 0, syscall.ENOSPC
	}
	return d.dataFolder.PrepareSnapshotFrom(meta, writeData)
}

func (d *faultyDisk) Failed() error {
	if d.failed != nil {
		return d.failed
	}
	return d.dataFolder.Failed()
}
