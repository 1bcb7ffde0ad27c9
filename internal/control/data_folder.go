package control

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/consensus"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// dataFolder is an open data folder. *storage.Disk implements it; tests let it fail.
type dataFolder interface {
	Append(hs *consensus.HardState, es []consensus.Entry) error
	SaveSnapshot(s consensus.Snapshot, tail []consensus.Entry) error
	PrepareSnapshotFrom(meta consensus.SnapshotMeta, writeData func(io.Writer) error) (size int, err error)
	ActivateSnapshot(meta consensus.SnapshotMeta, snapshotBytes int, tail []consensus.Entry) error
	Snapshot() (meta consensus.SnapshotMeta, snapshotBytes int)
	OpenSnapshot() (io.ReadCloser, error)
	Failed() error
	Close() error
}

// folderAccess opens data folders.
type folderAccess struct {
	open          func(dir string) (dataFolder, storage.LoadedState, error)
	checkWritable func(dir string) error
}

// accessTo opens a folder that this process owns.
func accessTo(folder *storage.Folder) folderAccess {
	return folderAccess{
		open: func(string) (dataFolder, storage.LoadedState, error) {
			d, l, err := folder.Open()
			if err != nil {
				return nil, l, err // not d, which would be a dataFolder that is not nil
			}
			return d, l, nil
		},
		checkWritable: storage.CheckWritable,
	}
}

// logOpening logs what opening a data folder found and changed.
func logOpening(logger *log.Logger, dir string, f storage.Findings, err error) {
	fields := []any{"dir", dir, "foreign", f.Foreign.Names, "foreign_count", f.Foreign.Count, "removed", f.Removed.Names, "removed_count", f.Removed.Count}
	if f.Torn.Bytes > 0 {
		fields = append(fields, "torn_file", f.Torn.File, "torn_at", f.Torn.Offset, "torn_bytes", f.Torn.Bytes)
	}
	if err != nil {
		logger.Warn("Data folder could not be opened.", append(fields, "code", int(result.CodeOf(err)), "err", result.From(err).Message)...)
		return
	}
	logger.Info("Data folder opened.", fields...)
}

// mayHeal reports whether a data folder that failed with err may work again by itself. A
// damaged or missing folder must be replaced.
func mayHeal(err error) bool {
	code := result.CodeOf(err)
	return code != result.DataCorrupt && code != result.DataMissing && code != result.DataNewer
}
