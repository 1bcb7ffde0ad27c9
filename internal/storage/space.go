package storage

import (
	"errors"
	"syscall"
)

// LacksSpace reports whether err says that the disk, the quota or the size limit of a file
// has no room for a write.
func LacksSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}
