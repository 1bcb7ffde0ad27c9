package storage

import (
	"errors"
	"io"
	"path/filepath"
)

// temporarySuffix ends the name of a file that replaceFile has not completed.
const temporarySuffix = ".tmp"

// createDir creates dir and its missing parents, and makes their names durable.
func createDir(fs fileSystem, dir string) error {
	var changed []string // folders that get a new name
	for p := dir; p != filepath.Dir(p); p = filepath.Dir(p) {
		if _, err := fs.readDir(p); err == nil {
			break
		}
		changed = append(changed, filepath.Dir(p))
	}
	if err := fs.mkdirAll(dir); err != nil {
		return err
	}
	if len(changed) == 0 {
		// A killed process may have created dir without syncing its name. If others created
		// it, this process may lack the right to read the parent.
		_ = fs.syncDir(filepath.Dir(dir))
		return nil
	}
	for _, p := range changed {
		if err := fs.syncDir(p); err != nil {
			return err
		}
	}
	return nil
}

// writeFile atomically replaces the content of path by b and syncs it.
func writeFile(fs fileSystem, path string, b []byte) error {
	return replaceFile(fs, path, func(f file) error {
		_, err := f.Write(b)
		return err
	})
}

// replaceFile atomically replaces the content of path by what write writes, and syncs it.
// After a crash the file has either the old or the new content.
func replaceFile(fs fileSystem, path string, write func(file) error) error {
	tmp := path + temporarySuffix
	if err := writeSynced(fs, tmp, write); err != nil {
		return errors.Join(err, fs.remove(tmp)) // it would take space that the log needs
	}
	if err := fs.rename(tmp, path); err != nil {
		return err
	}
	return fs.syncDir(filepath.Dir(path))
}

// writeSynced creates the file path with what write writes, and syncs it.
func writeSynced(fs fileSystem, path string, write func(file) error) error {
	f, err := fs.create(path)
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
	return f.Close()
}

// truncateFile truncates a file without syncing it.
func truncateFile(fs fileSystem, path string, size int64) error {
	f, err := fs.openAppend(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Truncate(size)
}

// syncFrom writes the bytes of a file from offset on again, in place, and syncs the file. A
// plain sync may store nothing: after a failed sync the system keeps what it could not
// store in its cache and takes it for stored.
func syncFrom(fs fileSystem, path string, offset int64) error {
	b, err := fs.readFile(path)
	if err != nil {
		return err
	}
	f, err := fs.openWrite(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(offset, io.SeekStart); err != nil {
		return err
	}
	if _, err := f.Write(b[offset:]); err != nil {
		return err
	}
	return f.Sync()
}
