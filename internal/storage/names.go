package storage

import (
	"strings"
)

// indexDigits is the number of digits of the log index in the name of a log or a snapshot.
const indexDigits = 20

// Names of log files.
const (
	logPrefix = "log-"
	logSuffix = ".wal"
)

// lostAndFound is the folder that a new file system has.
const lostAndFound = "lost+found"

// fileKind is what a data folder has a file for, by its name.
type fileKind int

const (
	foreignFile fileKind = iota // neither of a replica nor of the file system
	systemKind                  // of the file system itself
	identityKind
	snapshotKind
	logKind
	temporaryKind // not completed
)

// kindOf returns the kind of a name in a data folder.
func kindOf(name string) fileKind {
	complete, temporary := strings.CutSuffix(name, temporarySuffix)
	kind := foreignFile
	switch {
	case complete == identityFile:
		kind = identityKind
	case isIndexed(complete, snapshotPrefix, snapshotSuffix):
		kind = snapshotKind
	case isIndexed(complete, logPrefix, logSuffix):
		kind = logKind
	case name == lostAndFound:
		return systemKind
	case name == writableFile:
		return temporaryKind
	}
	if temporary && kind != foreignFile {
		return temporaryKind
	}
	return kind
}

// isIndexed reports whether name is a log index of full length between a prefix and a suffix.
func isIndexed(name, prefix, suffix string) bool {
	index, ok := strings.CutPrefix(name, prefix)
	index, ok2 := strings.CutSuffix(index, suffix)
	return ok && ok2 && len(index) == indexDigits && strings.Trim(index, "0123456789") == ""
}
