package storage

import "io"

// fileSystem has the calls of the operating system that a data folder needs. Tests
// replace it to interrupt calls and to simulate a loss of power.
type fileSystem interface {
	mkdirAll(dir string) error
	readDir(dir string) (names []string, err error)
	readFile(path string) ([]byte, error)
	// open opens a file for reading.
	open(path string) (io.ReadCloser, error)
	// create opens an empty file for writing and replaces an existing one.
	create(path string) (file, error)
	// openWrite opens an existing file for writing at its start.
	openWrite(path string) (file, error)
	// openAppend opens a file whose writes go to its end, and creates it if needed.
	openAppend(path string) (file, error)
	rename(from, to string) error
	remove(path string) error
	// syncDir makes created, renamed and removed names in dir durable.
	syncDir(dir string) error
}

// file is an open file for writing. *os.File implements it.
type file interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	// Sync makes the content of the file durable.
	Sync() error
}
