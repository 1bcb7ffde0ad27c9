package storage

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// osFiles implements fileSystem by the operating system.
type osFiles struct{}

func (osFiles) mkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

func (osFiles) readDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (osFiles) readFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) open(path string) (io.ReadCloser, error) {
	return os.Open(path)
}

func (osFiles) create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
}

func (osFiles) openWrite(path string) (file, error) {
	return os.OpenFile(path, os.O_WRONLY, 0o600)
}

func (osFiles) openAppend(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (osFiles) rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) remove(path string) error { return os.Remove(path) }

func (osFiles) syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// isNameless reports whether an open file has no name any more, so that its content goes with the
// process. It is false if the system does not tell.
func isNameless(f file) bool {
	h, ok := f.(*os.File)
	if !ok {
		return false
	}
	var st unix.Stat_t
	return unix.Fstat(int(h.Fd()), &st) == nil && st.Nlink == 0
}
