package control

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/apricotstream/apricotstream/internal/clock"
	"github.com/apricotstream/apricotstream/internal/periodic"
	"github.com/apricotstream/apricotstream/internal/result"
	"github.com/apricotstream/apricotstream/internal/storage"
)

// ownRetryInterval is the delay between two attempts to own a data folder.
const ownRetryInterval = 50 * time.Millisecond

// OwnFolder makes this process the owner of an existing data folder. While another process owns
// it, OwnFolder waits. If ctx ends before, it returns FolderInUse. address is that on which the
// replica will listen; if another process listens there, OwnFolder returns the error of the
// listener: that process may use the folder without a lock.
func OwnFolder(ctx context.Context, dir, address string, logger *log.Logger) (*storage.Folder, error) {
	began, waits := clock.Now(), false
	for {
		folder, err := storage.Acquire(dir)
		if err == nil {
			logOwned(logger, folder, clock.Now()-began)
			if err := checkAddressFree(address); err != nil {
				return nil, errors.Join(err, folder.Release())
			}
			return folder, nil
		}
		if result.CodeOf(err) != result.FolderInUse {
			return nil, err
		}
		if !waits {
			waits = true
			logger.Warn("Data folder is in use; waiting until the other process ends.", "dir", dir, "code", int(result.FolderInUse))
		}
		if !periodic.Pause(ctx, ownRetryInterval) {
			return nil, err
		}
	}
}

func checkAddressFree(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

func logOwned(logger *log.Logger, folder *storage.Folder, waited time.Duration) {
	if err := folder.Unlocked(); err != nil {
		logger.Warn("Data folder cannot be locked; another process could use it too.", "dir", folder.Dir(), "err", err.Error())
		return
	}
	logger.Info("Data folder locked.", "dir", folder.Dir(), "waited_ms", waited.Milliseconds())
}
