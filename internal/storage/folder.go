package storage

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Folder is a data folder that this process owns. The owner holds an advisory lock on the folder
// itself, which the system releases when the process ends. So a lock leaves no file behind, needs
// no space, and outlives the removal of the folder's content.
type Folder struct {
	dir    string
	handle *os.File
	// unlocked is why the file system gave no lock; nil if the folder is locked.
	unlocked error
}

// Acquire makes this process the owner of an existing data folder until Release or the end of the
// process. Errors: FolderInUse if there is another owner, DataMissing if there is no folder. A
// file system without locks does not keep a replica from running: see Unlocked.
func Acquire(dir string) (*Folder, error) { return acquire(dir, unix.Flock) }

func acquire(dir string, flock func(descriptor, how int) error) (*Folder, error) {
	handle, err := os.Open(dir)
	if os.IsNotExist(err) {
		return nil, missing(dir)
	}
	if err != nil {
		return nil, err
	}
	for {
		err = flock(int(handle.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if !errors.Is(err, unix.EINTR) {
			break
		}
	}
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, errors.Join(result.New(result.FolderInUse, "data folder %s is in use by another process", dir), handle.Close())
	}
	return &Folder{dir: dir, handle: handle, unlocked: err}, nil
}

// MakeFolder creates dir and its missing parents.
func MakeFolder(dir string) error { return createDir(osFiles{}, dir) }

// Dir returns the path of the folder.
func (f *Folder) Dir() string { return f.dir }

// Unlocked returns why the folder has no lock, so that another process may use it too, or nil.
func (f *Folder) Unlocked() error { return f.unlocked }

// Open reads the folder; see Open.
func (f *Folder) Open() (*Disk, LoadedState, error) { return open(osFiles{}, f.dir) }

// Create initialises the folder; see Create.
func (f *Folder) Create(id Identity, s consensus.Snapshot) error {
	return create(osFiles{}, f.dir, id, s)
}

// CreateAnew initialises the folder, also if it has a log without an identity; see CreateAnew.
func (f *Folder) CreateAnew(id Identity, s consensus.Snapshot) error {
	return createAnew(osFiles{}, f.dir, id, s)
}

// HasLog reports whether the folder has a log without an identity, which only CreateAnew replaces. It
// returns AlreadyExists if the folder has an identity, or files of others.
func (f *Folder) HasLog() (bool, error) {
	_, hasLog, err := withoutIdentity(osFiles{}, f.dir)
	return hasLog, err
}

// Release lets another process own the folder. Nothing in this process may use it any more.
func (f *Folder) Release() error { return f.handle.Close() }
