package storage

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

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

// Create initialises a data folder with an identity and a first snapshot. It replaces what
// an interrupted Create has left, and returns AlreadyExists if the folder has other files and
// FolderInUse if another process owns it.
func Create(dir string, id Identity, s consensus.Snapshot) error {
	if err := MakeFolder(dir); err != nil {
		return err
	}
	folder, err := Acquire(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Create(id, s), folder.Release())
}

func create(fs fileSystem, dir string, id Identity, s consensus.Snapshot) error {
	if err := createDir(fs, dir); err != nil {
		return err
	}
	if err := removeInterruptedCreate(fs, dir); err != nil {
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
	// returns DataMissing.
	return writeFile(fs, filepath.Join(dir, identityFile), b)
}

// removeInterruptedCreate removes the snapshots of a Create that was interrupted before it
// wrote the identity. They may be of another Create than the next one. Once Open has
// returned, the folder also has a log.
func removeInterruptedCreate(fs fileSystem, dir string) error {
	names, err := vacantFiles(fs, dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := fs.remove(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// CheckVacant returns nil if the folder does not exist, or holds nothing but what an
// interrupted Create has left, so that it holds no replica.
func CheckVacant(dir string) error {
	_, err := vacantFiles(osFiles{}, dir)
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// vacantFiles returns the files that an interrupted Create has left in the folder, or
// AlreadyExists if there are others.
func vacantFiles(fs fileSystem, dir string) ([]string, error) {
	names, err := fs.readDir(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) && name != identityFile+temporarySuffix {
			return nil, result.New(result.AlreadyExists, "data folder %s is not empty", dir)
		}
	}
	return names, nil
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
