package storage

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

const identityFile = "identity.json"

// Identity identifies the cluster and the replica to which a data folder belongs.
type Identity struct {
	Cluster string       `json:"cluster"`
	ID      consensus.ID `json:"id"`
	Sum     uint32       `json:"sum"` // CRC-32C of the other fields
}

func (i Identity) sum() uint32 {
	return crc32.Checksum([]byte(i.Cluster+" "+string(i.ID)), castagnoliTable)
}

// Create initialises a data folder with an identity and a first snapshot. It replaces what an
// interrupted Create has left. Errors: FolderInUse if another process owns the folder, AlreadyExists
// if it has files of others, an identity, or a log: a replica has run there.
func Create(dir string, id Identity, s consensus.Snapshot) error {
	return inOwnedFolder(dir, func(f *Folder) error { return f.Create(id, s) })
}

// CreateAnew is Create for a replica that joins a group under a new identity. It also replaces logs
// that have no identity: no process can continue them.
func CreateAnew(dir string, id Identity, s consensus.Snapshot) error {
	return inOwnedFolder(dir, func(f *Folder) error { return f.CreateAnew(id, s) })
}

// inOwnedFolder creates dir if needed and calls f with it while this process owns it.
func inOwnedFolder(dir string, f func(*Folder) error) error {
	if err := MakeFolder(dir); err != nil {
		return err
	}
	folder, err := Acquire(dir)
	if err != nil {
		return err
	}
	return errors.Join(f(folder), folder.Release())
}

func create(fs fileSystem, dir string, id Identity, s consensus.Snapshot) error {
	return initialise(fs, dir, id, s, false)
}

func createAnew(fs fileSystem, dir string, id Identity, s consensus.Snapshot) error {
	return initialise(fs, dir, id, s, true)
}

// initialise initialises a data folder. replaceLogs tells whether it may have a log.
func initialise(fs fileSystem, dir string, id Identity, s consensus.Snapshot, replaceLogs bool) error {
	if err := createDir(fs, dir); err != nil {
		return err
	}
	if err := removeWithoutIdentity(fs, dir, replaceLogs); err != nil {
		return err
	}
	if _, err := writeSnapshot(fs, dir, s.Meta, dataOf(s)); err != nil {
		return err
	}
	id.Sum = id.sum()
	b, err := json.Marshal(id)
	if err != nil {
		return err
	}
	// The identity is written last: without it the folder is incomplete and Open
	// returns DataMissing. writeSnapshot has made the removals durable.
	return writeFile(fs, filepath.Join(dir, identityFile), b)
}

// removeWithoutIdentity removes the files of a replica that has no identity: a Create was
// interrupted before it wrote one, the identity is lost, or a process outlived the removal of its
// files. replaceLogs tells whether the folder may have a log.
func removeWithoutIdentity(fs fileSystem, dir string, replaceLogs bool) error {
	names, hasLog, err := withoutIdentity(fs, dir)
	if err != nil {
		return err
	}
	if hasLog && !replaceLogs {
		return errHasLog(dir)
	}
	for _, name := range names {
		if err := fs.remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

func errHasLog(dir string) error {
	return result.New(result.AlreadyExists, "data folder %s is not empty: it has a log but no %s, so a replica has run there that must join its group again", dir, identityFile)
}

// CheckVacant returns nil if the folder does not exist, or holds neither an identity nor a log nor
// files of others, so that no replica has run there.
func CheckVacant(dir string) error {
	_, hasLog, err := withoutIdentity(osFiles{}, dir)
	switch {
	case os.IsNotExist(err):
		return nil
	case err == nil && hasLog:
		return errHasLog(dir)
	}
	return err
}

// withoutIdentity returns the names of the files of a replica in a folder that has no identity.
// It returns AlreadyExists if the folder has one, or files of others: it may be a mount point whose
// disk, with the replica, is not mounted.
func withoutIdentity(fs fileSystem, dir string) (names []string, hasLog bool, err error) {
	all, err := fs.readDir(dir)
	if err != nil {
		return nil, false, err
	}
	for _, name := range all {
		switch kindOf(name) {
		case systemKind:
			continue
		case foreignFile:
			return nil, false, result.New(result.AlreadyExists, "data folder %s is not empty: it has %s, which is not a file of a replica", dir, name)
		case identityKind:
			return nil, false, result.New(result.AlreadyExists, "data folder %s is not empty: it holds a replica", dir)
		case logKind:
			hasLog = true
		}
		names = append(names, name)
	}
	return names, hasLog, nil
}

func missing(dir string) error {
	return result.New(result.DataMissing, "data folder %s has no %s: run `apricotstream init` for the first start of the system; if this VM was a replica before, its disk is lost: run `apricotstream join`, then replace it with `apricotstream member`", dir, identityFile)
}

func readIdentity(fs fileSystem, dir string) (Identity, error) {
	var id Identity
	b, err := fs.readFile(filepath.Join(dir, identityFile))
	if os.IsNotExist(err) {
		return id, missing(dir)
	}
	if err != nil {
		return id, err
	}
	if err := json.Unmarshal(b, &id); err != nil {
		return id, result.New(result.DataCorrupt, "%s: %v", filepath.Join(dir, identityFile), err)
	}
	if encoded, err := json.Marshal(id); err != nil || id.Sum != id.sum() || !bytes.Equal(encoded, b) {
		return id, result.New(result.DataCorrupt, "%s: checksum does not match", filepath.Join(dir, identityFile))
	}
	return id, nil
}
