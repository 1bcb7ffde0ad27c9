package storage

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// Disk is an open data folder. It isn't safe for concurrent use, except for
// PrepareSnapshot.
type Disk struct {
	fs            fileSystem
	dir           string
	log           file
	countsNames   bool                   // isNameless can tell whether the log was removed
	snapshotMeta  consensus.SnapshotMeta // of the newest active snapshot
	snapshotBytes int                    // size of that snapshot's data
	hardState     consensus.HardState
	failed        error   // first write error; every later write returns it
	owned         *Folder // released by Close; nil if another owns the folder for longer
}

// LoadedState is the durable state that Open found in a data folder.
type LoadedState struct {
	Identity Identity
	Hard     consensus.HardState
	Snapshot consensus.Snapshot
	Entries  []consensus.Entry // log entries after the snapshot, without gaps
	Findings Findings          // also set if Open fails
}

// Open reads a data folder. It returns DataMissing if the folder was not initialised and
// DataCorrupt if a file is damaged. It truncates a torn record at the end of the newest
// log, and activates the newest stored snapshot if it isn't active yet. The state that it
// returns is synced to disk, even if the process that wrote it was killed before its sync.
// Open removes incomplete files. This process owns the folder until the Disk is closed; see
// Acquire.
func Open(dir string) (*Disk, LoadedState, error) {
	folder, err := Acquire(dir)
	if err != nil {
		return nil, LoadedState{}, err
	}
	d, l, err := folder.Open()
	if err != nil {
		return nil, l, errors.Join(err, folder.Release())
	}
	d.owned = folder
	return d, l, nil
}

func open(fs fileSystem, dir string) (*Disk, LoadedState, error) {
	var l LoadedState
	var err error
	l.Identity, err = readIdentity(fs, dir)
	l.Findings.Foreign = foreign(fs, dir, err == nil)
	if err != nil {
		return nil, l, err
	}
	// A process may have been killed between a rename and the sync of the folder. A log must
	// not become durable before the snapshot that it follows.
	if err := fs.syncDir(dir); err != nil {
		return nil, l, err
	}
	if err := removeTemporaryFiles(fs, dir, &l.Findings.Removed); err != nil {
		return nil, l, err
	}
	snaps, err := listFiles(fs, dir, snapshotKind)
	if err != nil {
		return nil, l, err
	}
	if len(snaps) == 0 {
		return nil, l, result.New(result.DataCorrupt, "%s: no snapshot file", dir)
	}
	if l.Snapshot, err = readSnapshot(fs, snaps[len(snaps)-1]); err != nil {
		return nil, l, err
	}
	l.Hard = consensus.HardState{Term: l.Snapshot.Meta.Term, Commit: l.Snapshot.Meta.Index}
	logs, err := listFiles(fs, dir, logKind)
	if err != nil {
		return nil, l, err
	}
	if err := replay(fs, logs, &l); err != nil {
		return nil, l, err
	}
	d := &Disk{fs: fs, dir: dir, snapshotMeta: l.Snapshot.Meta, snapshotBytes: len(l.Snapshot.Data), hardState: l.Hard}
	if err := d.openLog(); err != nil {
		return nil, l, err
	}
	if len(logs) > 0 && logs[0] != d.logPath() {
		// The process ended after it stored the snapshot and before it completed the
		// new log. The older log still holds the entries that the new one lacks.
		if err := d.Append(&l.Hard, l.Entries); err != nil {
			return nil, l, err
		}
	}
	err = d.removeObsoleteFiles(&l.Findings.Removed)
	return d, l, err
}

// removeTemporaryFiles removes the files that an interrupted process has not completed, and adds
// their names to removed. On a full disk they would take the space that the log needs.
func removeTemporaryFiles(fs fileSystem, dir string, removed *NameList) error {
	paths, err := listFiles(fs, dir, temporaryKind)
	if err != nil {
		return err
	}
	for _, p := range paths {
		if err := fs.remove(p); err != nil {
			return err
		}
		removed.add(filepath.Base(p))
	}
	return nil
}

// listFiles returns the paths of the files of a kind in dir, in ascending order.
func listFiles(fs fileSystem, dir string, kind fileKind) ([]string, error) {
	names, err := fs.readDir(dir)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, n := range names {
		if kindOf(n) == kind {
			out = append(out, filepath.Join(dir, n))
		}
	}
	slices.Sort(out)
	return out, nil
}

func logPath(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%0*d%s", logPrefix, indexDigits, index, logSuffix))
}

func (d *Disk) logPath() string { return logPath(d.dir, d.snapshotMeta.Index) }

// openLog opens the log file that belongs to the current snapshot, and creates it if
// needed.
func (d *Disk) openLog() error {
	f, err := d.fs.openAppend(d.logPath())
	if err != nil {
		return err
	}
	if d.log != nil {
		d.log.Close()
	}
	d.log, d.countsNames = f, !isNameless(f)
	return d.fs.syncDir(d.dir)
}

// Append stores a hard state and entries in one record and syncs it. hs may be nil. An
// error is final: the content of the folder is unknown then, and every later Append,
// SaveSnapshot and ActivateSnapshot returns the same error. It is DataMissing if the log file
// was removed, so that what is stored in it would be lost with the process.
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
	b, err := encodeRecord(record{Hard: hs, Entries: es})
	if err != nil {
		return err
	}
	if _, err := d.log.Write(b); err != nil {
		return err
	}
	if hs != nil {
		d.hardState = *hs
	}
	if err := d.log.Sync(); err != nil {
		return err
	}
	if d.countsNames && isNameless(d.log) {
		return result.New(result.DataMissing, "%s was removed while it was in use", d.logPath())
	}
	return nil
}

// Failed returns the error of the first write that failed, or nil. After one, the folder
// must be opened again.
func (d *Disk) Failed() error { return d.failed }

// SaveSnapshot stores a snapshot, starts a new log with the hard state and the entries
// after the snapshot, and removes the files that they replace. An error is final, as in
// Append.
func (d *Disk) SaveSnapshot(s consensus.Snapshot, tail []consensus.Entry) error {
	if d.failed != nil {
		return d.failed
	}
	d.failed = d.saveSnapshot(s, tail)
	return d.failed
}

func (d *Disk) saveSnapshot(s consensus.Snapshot, tail []consensus.Entry) error {
	if err := d.PrepareSnapshot(s); err != nil {
		return err
	}
	return d.activateSnapshot(s.Meta, len(s.Data), tail)
}

// PrepareSnapshot stores a snapshot of a prefix of the log. The log remains in use until
// ActivateSnapshot is called. PrepareSnapshot may run on any goroutine, but only one call
// at a time.
func (d *Disk) PrepareSnapshot(s consensus.Snapshot) error {
	_, err := d.PrepareSnapshotFrom(s.Meta, dataOf(s))
	return err
}

// dataOf returns a function that writes the data of a snapshot.
func dataOf(s consensus.Snapshot) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := w.Write(s.Data)
		return err
	}
}

// PrepareSnapshotFrom is PrepareSnapshot with data that writeData writes, so that it need not
// be in memory at once. It returns the size of the data in bytes.
func (d *Disk) PrepareSnapshotFrom(meta consensus.SnapshotMeta, writeData func(io.Writer) error) (size int, err error) {
	return writeSnapshot(d.fs, d.dir, meta, writeData)
}

// ActivateSnapshot starts a new log from a prepared snapshot and the entries after it,
// and removes the files that they replace. snapshotBytes is the size of the snapshot's
// data. It does nothing if the current snapshot is the same or newer. An error is final,
// as in Append.
func (d *Disk) ActivateSnapshot(snapshotMeta consensus.SnapshotMeta, snapshotBytes int, tail []consensus.Entry) error {
	if d.failed != nil || snapshotMeta.Index <= d.snapshotMeta.Index {
		return d.failed
	}
	d.failed = d.activateSnapshot(snapshotMeta, snapshotBytes, tail)
	return d.failed
}

func (d *Disk) activateSnapshot(snapshotMeta consensus.SnapshotMeta, snapshotBytes int, tail []consensus.Entry) error {
	d.snapshotMeta, d.snapshotBytes = snapshotMeta, snapshotBytes
	if err := d.openLog(); err != nil {
		return err
	}
	hs := d.hardState
	if err := d.append(&hs, tail); err != nil {
		return err
	}
	return d.removeObsoleteFiles(&NameList{})
}

// removeObsoleteFiles removes the snapshots and logs that are older than the newest active
// snapshot, and adds their names to removed.
func (d *Disk) removeObsoleteFiles(removed *NameList) error {
	oldestKept := map[fileKind]string{snapshotKind: snapshotPath(d.dir, d.snapshotMeta.Index), logKind: d.logPath()}
	for _, kind := range []fileKind{snapshotKind, logKind} {
		paths, err := listFiles(d.fs, d.dir, kind)
		if err != nil {
			return err
		}
		for _, p := range paths {
			if p < oldestKept[kind] {
				if err := d.fs.remove(p); err != nil {
					return err
				}
				removed.add(filepath.Base(p))
			}
		}
	}
	return nil
}

// Snapshot returns the metadata of the newest active snapshot and the size of its data in
// bytes.
func (d *Disk) Snapshot() (consensus.SnapshotMeta, int) { return d.snapshotMeta, d.snapshotBytes }

// OpenSnapshot opens the file of the newest active snapshot. DecodeSnapshot decodes its
// content. The caller must close the file.
func (d *Disk) OpenSnapshot() (io.ReadCloser, error) {
	return d.fs.open(snapshotPath(d.dir, d.snapshotMeta.Index))
}

// Close closes the log file. Other processes may then own the folder, unless a Folder has opened
// it.
func (d *Disk) Close() error {
	err := d.log.Close()
	if d.owned != nil {
		err = errors.Join(err, d.owned.Release())
	}
	return err
}
