package storage

import (
	"bytes"
	"encoding/json"
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
// an interrupted Create has left and returns AlreadyExists if the folder holds other files.
func Create(dir string, id Identity, s consensus.Snapshot) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := removeInterruptedCreate(dir); err != nil {
		return err
	}
	if err := writeSnapshot(dir, s); err != nil {
		return err
	}
	id.Sum = id.sum()
	b, err := json.Marshal(id)
	if err != nil {
		return err
	}
	// The identity is written last: without it the folder is incomplete and Open
	// returns DataMissing.
	return writeFile(filepath.Join(dir, identityFile), b)
}

// removeInterruptedCreate removes the files of a Create that did not finish: a snapshot and
// incomplete files. It removes nothing and returns AlreadyExists if there are others. A
// folder that was opened has a log, so its snapshot stays even without its identity.
func removeInterruptedCreate(dir string) error {
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, f := range files {
		name := strings.TrimSuffix(f.Name(), temporarySuffix)
		isSnapshot := strings.HasPrefix(name, "snapshot-") && strings.HasSuffix(name, ".json")
		if !isSnapshot && f.Name() != identityFile+temporarySuffix {
			return result.New(result.AlreadyExists, "data folder %s is not empty", dir)
		}
	}
	for _, f := range files {
		if err := os.Remove(filepath.Join(dir, f.Name())); err != nil {
			return err
		}
	}
	return nil
}

func readIdentity(dir string) (Identity, error) {
	var id Identity
	b, err := os.ReadFile(filepath.Join(dir, identityFile))
	if os.IsNotExist(err) {
		return id, result.New(result.DataMissing, "data folder %s has no %s: run `apricotstream init` for the first start of the system; if this VM was a replica before, its disk is lost: run `apricotstream join`, then replace it with `apricotstream member`", dir, identityFile)
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
