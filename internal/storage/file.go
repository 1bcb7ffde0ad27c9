package storage

import (
	"os"
	"path/filepath"
)

// writeFile replaces path durably by b.
func writeFile(path string, b []byte) error {
	return replaceFile(path, func(f *os.File) error {
		_, err := f.Write(b)
		return err
	})
}

// replaceFile replaces path durably by what write writes: the old or the new
// content survives a crash.
func replaceFile(path string, write func(*os.File) error) error {
	tmp := path + ".tmp"
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

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
