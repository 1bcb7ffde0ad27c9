package storage

import (
	"path/filepath"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
)

// replay applies the records of the log files, oldest first, to state, and makes them
// durable. It returns DataCorrupt if a record is damaged, or if a snapshot or log entries
// are missing.
func replay(fs fileSystem, logs []string, state *LoadedState) error {
	lastRecord := 0 // offset of the last record in the newest file
	for i, path := range logs {
		f := logReplay{fs: fs, path: path, state: state, newest: i == len(logs)-1}
		if path > logPath(filepath.Dir(path), state.Snapshot.Meta.Index) {
			return result.New(result.DataCorrupt, "%s: the snapshot that precedes this log is missing", path)
		}
		f.startsAtSnapshot = path == logPath(filepath.Dir(path), state.Snapshot.Meta.Index)
		f.sameHistory = f.startsAtSnapshot
		if err := f.replay(); err != nil {
			return err
		}
		lastRecord = f.lastRecord
		state.Hard.Commit = max(state.Hard.Commit, state.Snapshot.Meta.Index)
		if last := state.Snapshot.Meta.Index + uint64(len(state.Entries)); state.Hard.Commit > last {
			return result.New(result.DataCorrupt, "%s: the log ends at entry %d, but entry %d was committed", path, last, state.Hard.Commit)
		}
	}
	if len(logs) == 0 {
		return nil
	}
	// A process may have been killed between the write and the sync of the last record, or
	// after the truncation of a torn one, or the sync may have failed.
	return syncFrom(fs, logs[len(logs)-1], int64(lastRecord))
}

// logReplay replays one log file.
type logReplay struct {
	fs               fileSystem
	path             string
	state            *LoadedState
	newest           bool
	startsAtSnapshot bool // the file follows the newest snapshot; false for an older file that a crash left behind
	lastRecord       int  // offset of the last record
	sameHistory      bool // the file's entries after the snapshot continue the snapshot's log
}

// replay reads and applies the records of the file. A torn record at the end of the newest
// file is truncated; no message that depended on it was ever sent.
func (f *logReplay) replay() error {
	b, err := f.fs.readFile(f.path)
	if err != nil {
		return err
	}
	for offset := 0; offset < len(b); {
		r, size, status := decodeRecord(b, offset)
		if status == recordTorn && f.newest {
			f.state.Findings.Torn = TornRecord{File: f.path, Offset: offset, Bytes: len(b) - offset}
			return truncateFile(f.fs, f.path, int64(offset))
		}
		if status != recordIntact {
			return result.New(result.DataCorrupt, "%s: damaged record at byte %d", f.path, offset)
		}
		if offset == 0 && f.startsAtSnapshot {
			f.state.Entries = nil // the first record repeats the entries after the snapshot
		}
		if err := f.applyRecord(r); err != nil {
			return err
		}
		f.lastRecord = offset
		offset += size
	}
	return nil
}

func (f *logReplay) applyRecord(r record) error {
	if r.Hard != nil {
		f.state.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		if err := f.applyEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (f *logReplay) applyEntry(e consensus.Entry) error {
	meta := f.state.Snapshot.Meta
	if e.Index <= meta.Index {
		f.state.Entries = nil
		if e.Index == meta.Index {
			f.sameHistory = e.Term == meta.Term
		}
		return nil
	}
	if !f.sameHistory {
		return nil // the entry is from a log that a leader's snapshot has replaced
	}
	k := e.Index - meta.Index - 1
	if k > uint64(len(f.state.Entries)) {
		return result.New(result.DataCorrupt, "%s: entry %d follows a gap", f.path, e.Index)
	}
	f.state.Entries = append(f.state.Entries[:k], e)
	return nil
}
