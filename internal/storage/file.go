package storage

import (
	"os"
	"path/filepath"
)

// temporarySuffix ends the name of a file that is not completely written.
const temporarySuffix = ".tmp"

// writeFile atomically replaces the content of path by b and syncs it.
func writeFile(path string, b []byte) error {
	return replaceFile(path, func(f *os.File) error {
		_, err := f.Write(b)
		return err
	})
}

// replaceFile atomically replaces the content of path by what write writes, and syncs it.
// After a crash the file has either the old or the new content.
func replaceFile(path string, write func(*os.File) error) error {
	tmp := path + temporarySuffix
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(tmp, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir syncs a directory, so that created and renamed files survive a crash.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
