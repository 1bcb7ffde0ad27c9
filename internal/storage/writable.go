package storage

import (
	"errors"
	"path/filepath"
)

const (
	writableFile = "writable" + temporarySuffix
	// writableBytes is a few times the size of the largest usual record, so that a folder
	// does not fail again with the next one.
	writableBytes = 1 << 20
)

// CheckWritable writes and syncs a file in a data folder and removes it again. It returns
// an error while the disk refuses writes.
func CheckWritable(dir string) error { return checkWritable(osFiles{}, dir) }

func checkWritable(fs fileSystem, dir string) error {
	path := filepath.Join(dir, writableFile)
	err := writeSynced(fs, path, func(f file) error {
		_, err := f.Write(make([]byte, writableBytes))
		return err
	})
	return errors.Join(err, fs.remove(path))
}
