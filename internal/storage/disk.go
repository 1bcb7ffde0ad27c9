package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Disk is an open data folder. It is used by one goroutine, but for Prepare.
type Disk struct {
	dir    string
	log    *os.File
	meta   consensus.SnapshotMeta // of the newest snapshot
	size   int                    // of its data, in bytes
	hard   consensus.HardState
	failed error // first failure; final
}

// Loaded is the durable state found at opening.
type Loaded struct {
	Identity Identity
	Hard     consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry // after the snapshot, without gaps
}

// Open reads a data folder. It fails with DataMissing when the folder was not
// initialised and with DataCorrupt when a file is damaged.
func Open(dir string) (*Disk, Loaded, error) {
	var l Loaded
	var err error
	if l.Identity, err = readIdentity(dir); err != nil {
		return nil, l, err
	}
	snaps, err := list(dir, "snapshot-", ".json")
	if err != nil {
		return nil, l, err
	}
	if len(snaps) == 0 {
		return nil, l, result.New(result.DataCorrupt, "%s: no snapshot", dir)
	}
	if l.Snapshot, err = readSnapshot(snaps[len(snaps)-1]); err != nil {
		return nil, l, err
	}
	l.Hard = consensus.HardState{Term: l.Snapshot.Meta.Term, Commit: l.Snapshot.Meta.Index}
	logs, err := list(dir, "log-", ".wal")
	if err != nil {
		return nil, l, err
	}
	if err := replay(logs, &l); err != nil {
		return nil, l, err
	}
	d := &Disk{dir: dir, meta: l.Snapshot.Meta, size: len(l.Snapshot.Data), hard: l.Hard}
	if err := d.openLog(); err != nil {
		return nil, l, err
	}
	if len(logs) > 0 && logs[0] != d.logPath() {
		// A crash in Save: the older log still holds what the new one lacks.
		if err := d.Append(&l.Hard, l.Entries); err != nil {
			return nil, l, err
		}
	}
	return d, l, d.clean()
}

func list(dir, prefix, suffix string) ([]string, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, n := range names {
		if strings.HasPrefix(n.Name(), prefix) && strings.HasSuffix(n.Name(), suffix) {
			out = append(out, filepath.Join(dir, n.Name()))
		}
	}
	slices.Sort(out)
	return out, nil
}

func logPath(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf("log-%020d.wal", index))
}

func (d *Disk) logPath() string { return logPath(d.dir, d.meta.Index) }

func (d *Disk) openLog() error {
	f, err := os.OpenFile(d.logPath(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if d.log != nil {
		d.log.Close()
	}
	d.log = f
	return syncDir(d.dir)
}

// Append stores a hard state and entries in one synced record. An error is
// final: what the folder holds is then unknown, and every later call fails.
func (d *Disk) Append(hs *consensus.HardState, es []consensus.Entry) error {
	if d.failed != nil {
		return d.failed
	}
	if hs == nil && len(es) == 0 {
		return nil
	}
	d.failed = d.append(hs, es)
	return d.failed
}

func (d *Disk) append(hs *consensus.HardState, es []consensus.Entry) error {
	b, err := encode(record{Hard: hs, Entries: es})
	if err != nil {
		return err
	}
	if _, err := d.log.Write(b); err != nil {
		return err
	}
	if hs != nil {
		d.hard = *hs
	}
	return d.log.Sync()
}

// Save stores a snapshot, starts a new log with the hard state and the entries
// after the snapshot, and drops the files that it replaces. An error is final.
func (d *Disk) SaveSnapshot(s consensus.Snapshot, tail []consensus.Entry) error {
	if d.failed != nil {
		return d.failed
	}
	d.failed = d.save(s, tail)
	return d.failed
}

func (d *Disk) save(s consensus.Snapshot, tail []consensus.Entry) error {
	if err := d.PrepareSnapshot(s); err != nil {
		return err
	}
	return d.adopt(s.Meta, len(s.Data), tail)
}

// Prepare stores a snapshot of a prefix of the log beside the log, which goes on.
// It may run on any goroutine, one at a time.
func (d *Disk) PrepareSnapshot(s consensus.Snapshot) error { return writeSnapshot(d.dir, s) }

// Adopt makes a prepared snapshot, of size bytes of data, the start of a new log
// with the entries after it, and drops the files that it replaces. It does nothing
// once a newer snapshot has been saved. An error is final.
func (d *Disk) ActivateSnapshot(meta consensus.SnapshotMeta, size int, tail []consensus.Entry) error {
	if d.failed != nil || meta.Index <= d.meta.Index {
		return d.failed
	}
	d.failed = d.adopt(meta, size, tail)
	return d.failed
}

func (d *Disk) adopt(meta consensus.SnapshotMeta, size int, tail []consensus.Entry) error {
	d.meta, d.size = meta, size
	if err := d.openLog(); err != nil {
		return err
	}
	hs := d.hard
	if err := d.append(&hs, tail); err != nil {
		return err
	}
	return d.clean()
}

// clean removes the files before the newest snapshot.
func (d *Disk) clean() error {
	for _, kind := range [][2]string{{"snapshot-", ".json"}, {"log-", ".wal"}} {
		paths, err := list(d.dir, kind[0], kind[1])
		if err != nil {
			return err
		}
		keep := fmt.Sprintf("%s%020d%s", kind[0], d.meta.Index, kind[1])
		for _, p := range paths {
			if filepath.Base(p) < keep {
				if err := os.Remove(p); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// Snapshot returns the place of the newest stored snapshot and the size of its
// data in bytes.
func (d *Disk) Snapshot() (consensus.SnapshotMeta, int) { return d.meta, d.size }

// OpenSnapshot opens the file of the newest stored snapshot; DecodeSnapshot reads
// its content. The caller closes it.
func (d *Disk) OpenSnapshot() (*os.File, error) {
	return os.Open(snapshotPath(d.dir, d.meta.Index))
}

// Close releases the folder.
func (d *Disk) Close() error { return d.log.Close() }
